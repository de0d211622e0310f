#include "serve/requestclaim.h"

#include <utility>

#include "claim/claimcodec.h"
#include "decide/claimlimits.h"
#include "decide/claimverdict.h"
#include "decide/requestfacts.h"
#include "decide/requestplan.h"
#include "http/httprequest.h"
#include "http/httpresponsehead.h"
#include "serve/servingcontext.h"

namespace cowsliphead
{

RequestClaim::RequestClaim(ServingContext &context, const RequestPlan &plan, const RequestFacts &facts, const HttpRequest &request, std::uint64_t sequence)
    : context_(context)
    , sequence_(sequence)
{
    if (plan.traits_.needsClaim_) {
        claim_.key_ = claimKey(plan.account_, facts.idempotencyKey_);
        claim_.fingerprint_ = requestFingerprint(httpMethodName(request.method_), request.path_ + "?" + request.query_, request.body_);
        claim_.owner_ = { context_.incarnation_, sequence_ };
        claim_.receivedAt_ = context_.clock_.wallNow();
        claim_.askedAt_ = context_.clock_.now();
    }
}

void RequestClaim::acquire(std::function<void(const ClaimVerdict &)> onVerdict)
{
    context_.claims_.acquire(claim_, std::move(onVerdict));
}

void RequestClaim::markGranted()
{
    isGranted_ = true;
}

void RequestClaim::end(Outcome outcome, std::optional<ClaimAnswer> answer)
{
    context_.claims_.stopWaiting(sequence_);
    // The claim of a request that may have run is kept, so that a repeated request does not run it again.
    if (!std::exchange(isGranted_, false) || outcome == Outcome::Unknown) {
        return;
    }
    const bool hasRun = outcome == Outcome::Run;
    const auto writeDeadline = context_.clock_.now() + ClaimLimits().endWriteTimeout_;
    context_.claims_.end({ claim_.key_, claim_.owner_, hasRun, context_.clock_.wallNow(), writeDeadline, hasRun ? std::move(answer) : std::nullopt });
}

std::optional<ClaimAnswer> RequestClaim::storableAnswer(const HttpResponseHead &head, const std::string &body)
{
    const auto contentType = headerValue(head.headers_, "Content-Type");
    if (body.size() > ClaimLimits().maxAnswerBytes_ || !isValidUtf8(contentType + body)) {
        return std::nullopt;
    }
    return ClaimAnswer{ head.status_, contentType, body };
}

} // namespace cowsliphead
