#include "serve/activerequest.h"

#include <utility>

#include "caller/answerhead.h"
#include "caller/callerexchange.h"
#include "caller/errorresponse.h"
#include "core/errorcode.h"
#include "decide/attemptfailure.h"
#include "decide/claimrefusal.h"
#include "decide/claimverdict.h"
#include "decide/requestfacts.h"
#include "endpoint/endpointheaders.h"
#include "endpoint/forwardedrequest.h"
#include "http/httpstatus.h"
#include "logs/log.h"
#include "records/recordset.h"
#include "serve/attempt.h"
#include "serve/attemptplan.h"
#include "serve/servingcontext.h"
#include "serve/wholeanswer.h"
#include "task/eventloop.h"

namespace cowsliphead
{

namespace
{

/// Header field of the W3C Trace Context recommendation.
constexpr const char *TraceHeader = "traceparent";

} // namespace

ActiveRequest::ActiveRequest(
    ServingContext &context, RequestPlan plan, const RequestFacts &facts, HttpRequest request, std::shared_ptr<CallerExchange> exchange)
    : context_(context)
    , plan_(std::move(plan))
    , machine_(plan_.traits_)
    , request_(std::move(request))
    , key_(facts.key_)
    , isStreamRequested_(facts.isStreamed_)
    , exchange_(std::move(exchange))
    , telemetry_(context, plan_.account_, headerValue(request_.headers_, TraceHeader))
    , sequence_(context.nextRequest_++)
    , claim_(context, plan_, facts, request_, sequence_)
    , requestIsolation_(context, request_, sequence_)
{
}

ActiveRequest::~ActiveRequest() = default;

void ActiveRequest::start(OnEnd onEnd)
{
    onEnd_ = std::move(onEnd);
    exchange_->onCallerLeft([this] { onCallerLeft(); });
    usage_.begin(request_.body_.size());
    execute(machine_.begin(context_.clock_.now()));
}

void ActiveRequest::execute(const RequestStep &step)
{
    std::visit([this](const auto &typedStep) { executeStep(typedStep); }, step);
}

void ActiveRequest::executeStep(const WaitStep & /*step*/)
{
}

void ActiveRequest::executeStep(const ClaimStep & /*step*/)
{
    claim_.acquire([this](const ClaimVerdict &verdict) { onClaimVerdict(verdict); });
}

void ActiveRequest::onClaimVerdict(const ClaimVerdict &verdict)
{
    if (verdict.kind_ == ClaimVerdictKind::Granted) {
        claim_.markGranted();
        execute(machine_.claimGranted(context_.clock_.now(), verdict.validUntil_));
    } else if (verdict.kind_ == ClaimVerdictKind::Replayed) {
        isStreamed_ = false;
        isReplay_ = true;
        answerHead_ = { verdict.answer_->status_, { { "Content-Type", verdict.answer_->contentType_ } } };
        answerBody_ = verdict.answer_->body_;
        execute(machine_.claimReplayed());
    } else {
        execute(machine_.claimRefused(claimRefusal(verdict.kind_)));
    }
}

void ActiveRequest::executeStep(const DispatchStep &step)
{
    attemptNumber_ = step.attempt_;
    const auto quarantineStatus = requestIsolation_.quarantineStatus();
    if (quarantineStatus == QuarantineStatus::Quarantined) {
        execute(machine_.refused(make_error_code(ErrorCode::RequestQuarantined)));
        return;
    }
    if (quarantineStatus == QuarantineStatus::Suspect) {
        startIsolatedAttempt();
        return;
    }
    const auto *endpoint = selection_.choose(context_, plan_.target_);
    if (endpoint == nullptr) {
        execute(machine_.noEndpoint());
        return;
    }
    send(*endpoint);
}

void ActiveRequest::executeStep(const CompleteStep & /*step*/)
{
    if (isStreamed_) {
        exchange_->endChunks();
    } else {
        telemetry_.answerStarted();
        usage_.addWholeAnswer(answerBody_);
        exchange_->reply(answerHeadFor(answerHead_), answerBody_);
    }
    finish(Outcome::Run, {});
}

void ActiveRequest::executeStep(const FailStep &step)
{
    if (exchange_->isStarted()) {
        logEvent(LogEvent::AnswerAborted, { { "request", sequence_ }, { "code", step.code_.message() } });
        exchange_->abort();
    } else {
        exchange_->reply(errorHead(step.code_, step.outcome_), errorBody(step.code_));
    }
    finish(step.outcome_, step.code_);
}

void ActiveRequest::startIsolatedAttempt()
{
    requestIsolation_.waitForTurn(
        plan_.traits_.deadline_, [this] { onIsolationTurn(); }, [this] { execute(machine_.refused(make_error_code(ErrorCode::DeadlineUnreachable))); });
}

void ActiveRequest::onIsolationTurn()
{
    // Another copy of the same request may have crashed an endpoint in the meantime.
    if (requestIsolation_.quarantineStatus() == QuarantineStatus::Quarantined) {
        execute(machine_.refused(make_error_code(ErrorCode::RequestQuarantined)));
        return;
    }
    const auto *endpoint = selection_.choose(context_, plan_.target_);
    if (endpoint == nullptr) {
        execute(machine_.noEndpoint());
        return;
    }
    requestIsolation_.reserveEndpoint(endpoint->endpoint_, [this, id = endpoint->endpoint_] { onEndpointReserved(id); });
}

void ActiveRequest::onEndpointReserved(const EndpointId &endpoint)
{
    const auto *record = context_.records_->endpoint(endpoint);
    if (record == nullptr) {
        execute(machine_.noEndpoint());
        return;
    }
    send(*record);
}

void ActiveRequest::send(const EndpointRecord &endpoint)
{
    const auto id = context_.incarnation_ + "-" + std::to_string(sequence_) + "-" + std::to_string(attemptNumber_);
    answerHead_ = {};
    answerBody_.clear();
    stream_.beginAttempt(id);
    auto forwarded = forwardedRequest(request_, endpoint, key_, id);
    if (stream_.eventCount() > 0) {
        logEvent(LogEvent::AnswerResumed, { { "attempt", id }, { "endpoint", endpoint.endpoint_.value() }, { "from", stream_.eventCount() } });
        forwarded.headers_.emplace_back(endpointheaders::ResumeFrom, std::to_string(stream_.eventCount()));
    }
    AttemptEvents events;
    events.onHead_ = [this](const HttpResponseHead &head) { onHead(head); };
    events.onData_ = [this](std::string_view data) { onData(data); };
    events.onEnd_ = [this](const tl::expected<void, AttemptFailure> &end) { onEnd(end); };
    std::erase_if(forwarded.headers_, [](const auto &field) { return isSameHeaderName(field.first, TraceHeader); });
    forwarded.headers_.emplace_back(TraceHeader, telemetry_.attemptStarted(endpoint.endpoint_));
    attempt_ = std::make_unique<Attempt>(context_, endpoint, id);
    requestIsolation_.attemptStarted();
    attempt_->start(endpoint, forwarded, planAttempt(plan_, isStreamRequested_, attemptNumber_, context_.clock_.now()), std::move(events));
}

void ActiveRequest::onHead(const HttpResponseHead &head)
{
    answerHead_ = head;
    const bool isEventStream = headerValue(head.headers_, "Content-Type").starts_with("text/event-stream");
    isStreamed_ = isStreamRequested_ && head.status_ == httpstatus::Ok && isEventStream;
    const bool isUsable = isStreamed_ ? stream_.canContinueFrom(headerValue(head.headers_, endpointheaders::ResumeFrom)) : !exchange_->isStarted();
    if (!isUsable) {
        failAttempt({ make_error_code(ErrorCode::EndpointAnswerMalformed), true, false });
    }
}

void ActiveRequest::onData(std::string_view data)
{
    if (!isStreamed_) {
        answerBody_.append(data);
        return;
    }
    const auto events = stream_.append(data);
    if (events.empty()) {
        return;
    }
    if (!exchange_->isStarted()) {
        machine_.answerStarted();
        telemetry_.answerStarted();
        exchange_->startChunks(answerHeadFor(answerHead_));
    }
    usage_.addStreamedData(events);
    exchange_->sendChunk(events);
}

void ActiveRequest::onEnd(const tl::expected<void, AttemptFailure> &end)
{
    if (isStreamed_ && !stream_.isComplete()) {
        failAttempt(end ? AttemptFailure{ make_error_code(ErrorCode::EndpointLost), true, false } : end.error());
        return;
    }
    if (!end && !isStreamed_) {
        failAttempt(end.error());
        return;
    }
    if (!isStreamed_ && !isWholeAnswer(answerHead_, answerBody_, !plan_.target_.model_.isEmpty())) {
        failAttempt({ make_error_code(ErrorCode::EndpointLost), true, false });
        return;
    }
    requestIsolation_.recordAnswered();
    closeAttempt({});
    execute(machine_.answerEnded());
}

bool ActiveRequest::mayHaveRun() const
{
    return machine_.mayHaveRun() || (attempt_ && attempt_->mayHaveBeenSent());
}

void ActiveRequest::onProcessStopping()
{
    if (!onEnd_) {
        return;
    }
    const auto code = mayHaveRun() ? ErrorCode::EndpointLost : ErrorCode::Draining;
    executeStep(FailStep{ make_error_code(code), mayHaveRun() ? Outcome::Unknown : Outcome::NotRun });
}

void ActiveRequest::onCallerLeft()
{
    finish(mayHaveRun() ? Outcome::Unknown : Outcome::NotRun, make_error_code(ErrorCode::CallerLeft));
}

void ActiveRequest::failAttempt(const AttemptFailure &failure)
{
    if (failure.isCrash_) {
        requestIsolation_.recordCrash(attempt_->endpoint());
    }
    if (failure.isReusedConnectionSilent_) {
        selection_.deprioritize(attempt_->endpoint());
    } else {
        selection_.markFailed(attempt_->endpoint());
    }
    closeAttempt(failure.code_);
    const auto step = machine_.attemptFailed(failure, context_.retryBudget_.mayRetry(), context_.clock_.now());
    if (std::holds_alternative<DispatchStep>(step)) {
        context_.retryBudget_.spend();
    }
    execute(step);
}

void ActiveRequest::closeAttempt(std::error_code code)
{
    if (attempt_) {
        attempt_->close();
        telemetry_.attemptEnded(code);
        // This may run inside one of the attempt's own callbacks, so the attempt is destroyed in a later iteration of the loop.
        context_.loop_.defer([ended = std::shared_ptr<Attempt>(std::move(attempt_))] {});
    }
    requestIsolation_.end();
}

void ActiveRequest::sendUsageEntry(Outcome outcome)
{
    const bool isCutOff = outcome != Outcome::Run;
    // Not billed: replayed answers, which were billed before, answers of which nothing was forwarded, requests without an account, and errors.
    if (isReplay_ || !usage_.hasForwardedData() || plan_.account_.isEmpty() || answerHead_.status_ != httpstatus::Ok) {
        return;
    }
    const bool isCompletion = !plan_.target_.model_.isEmpty();
    const auto figures = isCompletion ? usage_.figures(isCutOff) : UsageFigures{ 1, isCutOff ? 1U : 0U, 0, 0 };
    context_.usage_.send({ 0, { plan_.account_, plan_.target_.model_ }, figures });
}

void ActiveRequest::finish(Outcome outcome, std::error_code code)
{
    claim_.end(outcome, isStreamed_ ? std::nullopt : RequestClaim::storableAnswer(answerHead_, answerBody_));
    closeAttempt(code);
    telemetry_.requestEnded(outcome, code);
    sendUsageEntry(outcome);
    exchange_->onCallerLeft(nullptr);
    if (const auto onEnd = std::exchange(onEnd_, nullptr)) {
        onEnd();
    }
}

} // namespace cowsliphead
