#include "serve/activerequest.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "caller/callerexchange.h"
#include "caller/errorresponse.h"
#include "claim/claimcodec.h"
#include "core/errorcode.h"
#include "decide/attemptfailure.h"
#include "decide/claimlimits.h"
#include "decide/claimrefusal.h"
#include "decide/claimverdict.h"
#include "decide/requestfacts.h"
#include "endpoint/endpointheaders.h"
#include "endpoint/forwardedrequest.h"
#include "http/httpcall.h"
#include "http/httpstatus.h"
#include "records/recordset.h"
#include "serve/servingcontext.h"

namespace cowsliphead
{

namespace
{

bool serves(const EndpointRecord &endpoint, const RequestTarget &target)
{
    if (endpoint.isDraining_) {
        return false;
    }
    if (target.model_.isEmpty()) {
        return endpoint.kind_ == EndpointKind::Service && endpoint.service_ == target.service_;
    }
    return endpoint.kind_ == EndpointKind::Engine && std::find(endpoint.models_.begin(), endpoint.models_.end(), target.model_) != endpoint.models_.end();
}

/// W3C's header field for the place in a trace.
constexpr const char *TraceHeader = "traceparent";

bool isRefusal(int status)
{
    return status == httpstatus::ServiceUnavailable || status == httpstatus::TooManyRequests;
}

} // namespace

ActiveRequest::ActiveRequest(
    ServingContext &context, RequestPlan plan, const RequestFacts &facts, HttpRequest request, std::shared_ptr<CallerExchange> exchange)
    : context_(context)
    , plan_(std::move(plan))
    , machine_(plan_.traits_)
    , request_(std::move(request))
    , key_(facts.key_)
    , isStreamed_(facts.isStreamed_)
    , exchange_(std::move(exchange))
    , telemetry_(context, plan_.account_, headerValue(request_.headers_, TraceHeader))
    , sequence_(context.nextRequest_++)
    , silence_(context.loop_, [this] { onSilence(); })
{
    if (plan_.traits_.needsClaim_) {
        claim_.key_ = claimKey(plan_.account_, facts.idempotencyKey_);
        claim_.fingerprint_ = requestFingerprint(httpMethodName(request_.method_), request_.path_ + "?" + request_.query_, request_.body_);
        claim_.owner_ = { context_.incarnation_, sequence_ };
        claim_.receivedAt_ = context_.clock_.wallNow();
        claim_.askedAt_ = context_.clock_.now();
    }
}

ActiveRequest::~ActiveRequest()
{
    if (call_) {
        call_->cancel();
    }
}

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
    context_.claims_.ask(claim_, [this](const ClaimVerdict &verdict) { onClaimVerdict(verdict); });
}

void ActiveRequest::onClaimVerdict(const ClaimVerdict &verdict)
{
    if (verdict.kind_ == ClaimVerdictKind::Granted) {
        hasClaim_ = true;
        take(machine_.claimGranted(context_.clock_.now(), verdict.validUntil_));
    } else if (verdict.kind_ == ClaimVerdictKind::Replayed) {
        isStreamed_ = false;
        answerHead_ = { verdict.answer_->status_, { { "Content-Type", verdict.answer_->contentType_ } } };
        answerBody_ = verdict.answer_->body_;
        take(machine_.claimReplayed());
    } else {
        take(machine_.claimRefused(claimRefusal(verdict.kind_)));
    }
}

void ActiveRequest::endClaim(Outcome outcome)
{
    // The claim of a request that may have run stays, so that no later sending runs it again.
    if (std::exchange(hasClaim_, false) && outcome != Outcome::Unknown) {
        const bool hasRun = outcome == Outcome::Run;
        const auto giveUpAt = context_.clock_.now() + ClaimLimits().endPatience_;
        context_.claims_.end({ claim_.key_, claim_.owner_, hasRun, context_.clock_.wallNow(), giveUpAt, hasRun ? answerToKeep() : std::nullopt });
    }
}

std::optional<ClaimAnswer> ActiveRequest::answerToKeep() const
{
    if (isStreamed_ || answerBody_.size() > ClaimLimits().longestAnswer_ || !isEncodable(answerBody_)) {
        return std::nullopt;
    }
    return ClaimAnswer{ answerHead_.status_, headerValue(answerHead_.headers_, "Content-Type"), answerBody_ };
}

void ActiveRequest::carryOut(const DispatchStep &step)
{
    const auto *endpoint = chooseEndpoint();
    if (endpoint == nullptr) {
        take(machine_.noEndpoint());
        return;
    }
    send(*endpoint, step.attempt_);
}

void ActiveRequest::carryOut(const CompleteStep & /*step*/)
{
    if (isStreamed_) {
        exchange_->endChunks();
    } else {
        telemetry_.answerStarted();
        usage_.takeWhole(answerBody_);
        exchange_->reply(callerHead(), answerBody_);
    }
    finish(Outcome::Run, {});
}

void ActiveRequest::carryOut(const FailStep &step)
{
    if (exchange_->isStarted()) {
        exchange_->abort();
    } else {
        exchange_->reply(errorHead(step.code_, step.outcome_), errorBody(step.code_));
    }
    finish(step.outcome_, step.code_);
}

const EndpointRecord *ActiveRequest::chooseEndpoint() const
{
    std::vector<const EndpointRecord *> candidates;
    for (const auto *endpoint : context_.records_->allOf<EndpointRecord>()) {
        if (serves(*endpoint, plan_.target_) && !failedEndpoints_.contains(endpoint->endpoint_)) {
            candidates.push_back(endpoint);
        }
    }
    return context_.chooser_.choose(candidates, [this](const EndpointId &endpoint) { return context_.pool_.load(endpoint); });
}

void ActiveRequest::send(const EndpointRecord &endpoint, std::uint32_t attempt)
{
    endpoint_ = endpoint.endpoint_;
    attemptId_ = context_.incarnation_ + "-" + std::to_string(sequence_) + "-" + std::to_string(attempt);
    answerHead_ = {};
    answerBody_.clear();
    HttpCallEvents events;
    events.onHead_ = [this](const HttpResponseHead &head) { onHead(head); };
    events.onData_ = [this](std::string_view data) { onData(data); };
    events.onEnd_ = [this](const tl::expected<void, HttpCallFailure> &end) { onEnd(end); };
    auto forwarded = forwardedRequest(request_, endpoint, key_, attemptId_);
    std::erase_if(forwarded.headers_, [](const auto &field) { return isSameHeader(field.first, TraceHeader); });
    forwarded.headers_.emplace_back(TraceHeader, telemetry_.attemptStarted(endpoint.endpoint_));
    call_ = context_.pool_.call(endpoint, forwarded, std::move(events));
    silence_.startOnce(plan_.firstByteTimeout_);
}

void ActiveRequest::onHead(const HttpResponseHead &head)
{
    answerHead_ = head;
    if (headerValue(head.headers_, endpointheaders::RequestId) != attemptId_) {
        failAttempt({ make_error_code(ErrorCode::EndpointAnswerMalformed), true, false });
        return;
    }
    const bool isEngine = !plan_.target_.model_.isEmpty();
    if (isEngine && isRefusal(head.status_)) {
        failAttempt({ make_error_code(ErrorCode::EndpointRefused), true, true });
    } else if (isEngine && head.status_ >= httpstatus::InternalServerError) {
        failAttempt({ make_error_code(ErrorCode::EndpointLost), true, false });
    } else if (head.status_ != httpstatus::Ok) {
        isStreamed_ = false;
    }
}

void ActiveRequest::onData(std::string_view data)
{
    silence_.startOnce(plan_.silenceTimeout_);
    if (isStreamed_) {
        forwardStreamed(data);
    } else {
        answerBody_.append(data);
    }
}

void ActiveRequest::forwardStreamed(std::string_view data)
{
    if (!exchange_->isStarted()) {
        machine_.answerStarted();
        telemetry_.answerStarted();
        exchange_->startChunks(callerHead());
    }
    usage_.takeStreamed(data);
    exchange_->sendChunk(data);
}

void ActiveRequest::onEnd(const tl::expected<void, HttpCallFailure> &end)
{
    if (!end) {
        failAttempt({ end.error().code_, end.error().wasOffered_, false });
        return;
    }
    releaseEndpoint({});
    take(machine_.answerEnded());
}

void ActiveRequest::onSilence()
{
    const bool wasOffered = call_->wasOffered();
    failAttempt({ make_error_code(ErrorCode::EndpointTimedOut), wasOffered, false });
}

void ActiveRequest::onCallerLeft()
{
    const bool mayHaveRun = machine_.mayHaveRun() || (call_ && call_->wasOffered());
    finish(mayHaveRun ? Outcome::Unknown : Outcome::NotRun, make_error_code(ErrorCode::CallerLeft));
}

void ActiveRequest::failAttempt(const AttemptFailure &attempt)
{
    failedEndpoints_.insert(endpoint_);
    releaseEndpoint(attempt.code_);
    const bool mayRetry = !exchange_->isStarted() && context_.retryBudget_.mayRetry();
    const auto step = machine_.attemptFailed(attempt, mayRetry, context_.clock_.now());
    if (std::holds_alternative<DispatchStep>(step)) {
        context_.retryBudget_.spend();
    }
    take(step);
}

void ActiveRequest::releaseEndpoint(std::error_code code)
{
    silence_.cancel();
    if (call_) {
        std::exchange(call_, nullptr)->cancel();
        context_.pool_.release(endpoint_);
        telemetry_.attemptEnded(code);
    }
}

HttpResponseHead ActiveRequest::callerHead() const
{
    HttpResponseHead head;
    head.status_ = answerHead_.status_;
    const auto contentType = headerValue(answerHead_.headers_, "Content-Type");
    if (!contentType.empty()) {
        head.headers_.emplace_back("Content-Type", contentType);
    }
    head.headers_.emplace_back(OutcomeHeader, outcomeName(Outcome::Run));
    return head;
}

void ActiveRequest::emitUsage(Outcome outcome)
{
    const bool isCutOff = outcome != Outcome::Run;
    // An answer that is no success, or that was given to nobody in particular, is not billed.
    if (!usage_.hasPassedOn() || plan_.account_.isEmpty() || answerHead_.status_ != httpstatus::Ok) {
        return;
    }
    const bool isCompletion = !plan_.target_.model_.isEmpty();
    const auto figures = isCompletion ? usage_.figures(isCutOff) : UsageFigures{ 1, isCutOff ? 1U : 0U, 0, 0 };
    context_.usage_.send({ 0, { plan_.account_, plan_.target_.model_ }, figures });
}

void ActiveRequest::finish(Outcome outcome, std::error_code code)
{
    context_.claims_.forget(sequence_);
    endClaim(outcome);
    releaseEndpoint(code);
    telemetry_.requestEnded(outcome, code);
    emitUsage(outcome);
    exchange_->onCallerLeft(nullptr);
    if (const auto onEnd = std::exchange(onEnd_, nullptr)) {
        onEnd();
    }
}

} // namespace cowsliphead
