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
#include "task/eventloop.h"

namespace cowsliphead
{

namespace
{

/// W3C's header field for the place in a trace.
constexpr const char *TraceHeader = "traceparent";

} // namespace

ActiveRequest::ActiveRequest(
    ServingContext &context, RequestPlan plan, const RequestFacts &facts, HttpRequest request, std::shared_ptr<CallerExchange> exchange)
    : context_(context)
    , plan_(std::move(plan))
    , machine_(plan_.traits_)
    , request_(std::move(request))
    , key_(facts.key_)
    , wantsStream_(facts.isStreamed_)
    , exchange_(std::move(exchange))
    , telemetry_(context, plan_.account_, headerValue(request_.headers_, TraceHeader))
    , sequence_(context.nextRequest_++)
    , claim_(context, plan_, facts, request_, sequence_)
    , trial_(context, request_, sequence_)
{
}

ActiveRequest::~ActiveRequest() = default;

void ActiveRequest::start(OnEnd onEnd)
{
    onEnd_ = std::move(onEnd);
    exchange_->onCallerLeft([this] { onCallerLeft(); });
    usage_.begin(request_.body_.size());
    take(machine_.begin(context_.clock_.now()));
}

void ActiveRequest::take(const RequestStep &step)
{
    std::visit([this](const auto &known) { carryOut(known); }, step);
}

void ActiveRequest::carryOut(const WaitStep & /*step*/)
{
}

void ActiveRequest::carryOut(const ClaimStep & /*step*/)
{
    claim_.ask([this](const ClaimVerdict &verdict) { onClaimVerdict(verdict); });
}

void ActiveRequest::onClaimVerdict(const ClaimVerdict &verdict)
{
    if (verdict.kind_ == ClaimVerdictKind::Granted) {
        claim_.granted();
        take(machine_.claimGranted(context_.clock_.now(), verdict.validUntil_));
    } else if (verdict.kind_ == ClaimVerdictKind::Replayed) {
        isStreamed_ = false;
        isReplay_ = true;
        answerHead_ = { verdict.answer_->status_, { { "Content-Type", verdict.answer_->contentType_ } } };
        answerBody_ = verdict.answer_->body_;
        take(machine_.claimReplayed());
    } else {
        take(machine_.claimRefused(claimRefusal(verdict.kind_)));
    }
}

void ActiveRequest::carryOut(const DispatchStep &step)
{
    attemptNumber_ = step.attempt_;
    const auto quarantineStatus = trial_.quarantineStatus();
    if (quarantineStatus == QuarantineStatus::Quarantined) {
        take(machine_.refused(make_error_code(ErrorCode::RequestQuarantined)));
        return;
    }
    if (quarantineStatus == QuarantineStatus::Suspect) {
        tryAlone();
        return;
    }
    const auto *endpoint = selection_.choose(context_, plan_.target_);
    if (endpoint == nullptr) {
        take(machine_.noEndpoint());
        return;
    }
    send(*endpoint);
}

void ActiveRequest::carryOut(const CompleteStep & /*step*/)
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

void ActiveRequest::carryOut(const FailStep &step)
{
    if (exchange_->isStarted()) {
        logEvent(LogEvent::AnswerAborted, { { "request", sequence_ }, { "code", step.code_.message() } });
        exchange_->abort();
    } else {
        exchange_->reply(errorHead(step.code_, step.outcome_), errorBody(step.code_));
    }
    finish(step.outcome_, step.code_);
}

void ActiveRequest::tryAlone()
{
    trial_.begin(
        plan_.traits_.deadline_, [this] { onTurnAlone(); }, [this] { take(machine_.refused(make_error_code(ErrorCode::DeadlineUnreachable))); });
}

void ActiveRequest::onTurnAlone()
{
    // While it waited, the same request may have crashed another endpoint.
    if (trial_.quarantineStatus() == QuarantineStatus::Quarantined) {
        take(machine_.refused(make_error_code(ErrorCode::RequestQuarantined)));
        return;
    }
    const auto *endpoint = selection_.choose(context_, plan_.target_);
    if (endpoint == nullptr) {
        take(machine_.noEndpoint());
        return;
    }
    trial_.reserve(endpoint->endpoint_, [this, id = endpoint->endpoint_] { onAlone(id); });
}

void ActiveRequest::onAlone(const EndpointId &endpoint)
{
    const auto *record = context_.records_->endpoint(endpoint);
    if (record == nullptr) {
        take(machine_.noEndpoint());
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
    attempt_->start(endpoint, forwarded, planAttempt(plan_, wantsStream_, attemptNumber_, context_.clock_.now()), std::move(events));
}

void ActiveRequest::onHead(const HttpResponseHead &head)
{
    answerHead_ = head;
    const bool isEventStream = headerValue(head.headers_, "Content-Type").starts_with("text/event-stream");
    isStreamed_ = wantsStream_ && head.status_ == httpstatus::Ok && isEventStream;
    const bool fits = isStreamed_ ? stream_.mayJoin(headerValue(head.headers_, endpointheaders::ResumeFrom)) : !exchange_->isStarted();
    if (!fits) {
        failAttempt({ make_error_code(ErrorCode::EndpointAnswerMalformed), true, false });
    }
}

void ActiveRequest::onData(std::string_view data)
{
    if (!isStreamed_) {
        answerBody_.append(data);
        return;
    }
    const auto events = stream_.add(data);
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
    if (isStreamed_ && !stream_.isWhole()) {
        failAttempt(end ? AttemptFailure{ make_error_code(ErrorCode::EndpointLost), true, false } : end.error());
        return;
    }
    if (!end && !isStreamed_) {
        failAttempt(end.error());
        return;
    }
    trial_.noteAnswered();
    closeAttempt({});
    take(machine_.answerEnded());
}

void ActiveRequest::onCallerLeft()
{
    const bool mayHaveRun = machine_.mayHaveRun() || (attempt_ && attempt_->mayHaveBeenSent());
    finish(mayHaveRun ? Outcome::Unknown : Outcome::NotRun, make_error_code(ErrorCode::CallerLeft));
}

void ActiveRequest::failAttempt(const AttemptFailure &failure)
{
    if (failure.isCrash_) {
        trial_.noteCrash(attempt_->endpoint());
    }
    if (failure.isReusedConnectionSilent_) {
        selection_.markDoubtful(attempt_->endpoint());
    } else {
        selection_.markFailed(attempt_->endpoint());
    }
    closeAttempt(failure.code_);
    const auto step = machine_.attemptFailed(failure, context_.retryBudget_.mayRetry(), context_.clock_.now());
    if (std::holds_alternative<DispatchStep>(step)) {
        context_.retryBudget_.spend();
    }
    take(step);
}

void ActiveRequest::closeAttempt(std::error_code code)
{
    if (attempt_) {
        attempt_->close();
        telemetry_.attemptEnded(code);
        // The attempt may be inside one of its own events, so it is destroyed in a later turn.
        context_.loop_.defer([ended = std::shared_ptr<Attempt>(std::move(attempt_))] {});
    }
    trial_.end();
}

void ActiveRequest::emitUsage(Outcome outcome)
{
    const bool isCutOff = outcome != Outcome::Run;
    // An answer that is no success, that was given to nobody in particular, or that was billed before, is not billed.
    if (isReplay_ || !usage_.hasForwardedData() || plan_.account_.isEmpty() || answerHead_.status_ != httpstatus::Ok) {
        return;
    }
    const bool isCompletion = !plan_.target_.model_.isEmpty();
    const auto figures = isCompletion ? usage_.figures(isCutOff) : UsageFigures{ 1, isCutOff ? 1U : 0U, 0, 0 };
    context_.usage_.send({ 0, { plan_.account_, plan_.target_.model_ }, figures });
}

void ActiveRequest::finish(Outcome outcome, std::error_code code)
{
    claim_.end(outcome, isStreamed_ ? std::nullopt : RequestClaim::answerToKeep(answerHead_, answerBody_));
    closeAttempt(code);
    telemetry_.requestEnded(outcome, code);
    emitUsage(outcome);
    exchange_->onCallerLeft(nullptr);
    if (const auto onEnd = std::exchange(onEnd_, nullptr)) {
        onEnd();
    }
}

} // namespace cowsliphead
