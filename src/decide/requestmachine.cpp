#include "decide/requestmachine.h"

#include <algorithm>

#include "core/errorcode.h"
#include "decide/attemptfailure.h"
#include "decide/claimrefusal.h"

namespace cowsliphead
{

RequestMachine::RequestMachine(const RequestTraits &traits)
    : traits_(traits)
{
}

RequestStep RequestMachine::begin(MonotonicTime now)
{
    if (traits_.needsClaim_) {
        return ClaimStep{};
    }
    return dispatch(now);
}

RequestStep RequestMachine::claimGranted(MonotonicTime now, MonotonicTime validUntil)
{
    claimEnd_ = validUntil;
    return dispatch(now);
}

RequestStep RequestMachine::claimRefused(const ClaimRefusal &refusal)
{
    return FailStep{ refusal.code_, refusal.outcome_ };
}

RequestStep RequestMachine::claimReplayed()
{
    return CompleteStep{};
}

RequestStep RequestMachine::noEndpoint()
{
    return fail(make_error_code(ErrorCode::EndpointUnavailable), dispatchedAt_);
}

RequestStep RequestMachine::refused(std::error_code code)
{
    return fail(code, dispatchedAt_);
}

void RequestMachine::answerStarted()
{
    isAnswerStarted_ = true;
    mayHaveRun_ = true;
}

RequestStep RequestMachine::answerEnded()
{
    return CompleteStep{};
}

RequestStep RequestMachine::attemptFailed(const AttemptFailure &attempt, bool mayRetry, MonotonicTime now)
{
    const bool isCertainlyNotRun = !attempt.mayHaveBeenSent_ || attempt.wasRefusedWhole_;
    mayHaveRun_ = mayHaveRun_ || !isCertainlyNotRun;
    if (!mayBeSentAgain(isCertainlyNotRun)) {
        return fail(attempt.code_, now);
    }
    if (attempts_ >= traits_.maxAttempts_ || !mayRetry) {
        return fail(attempt.code_, now);
    }
    return dispatch(now);
}

bool RequestMachine::mayHaveRun() const
{
    return mayHaveRun_;
}

RequestStep RequestMachine::dispatch(MonotonicTime now)
{
    if (now >= std::min(traits_.deadline_, claimEnd_)) {
        return fail(make_error_code(ErrorCode::DeadlineUnreachable), now);
    }
    dispatchedAt_ = now;
    ++attempts_;
    return DispatchStep{ attempts_ };
}

FailStep RequestMachine::fail(std::error_code code, MonotonicTime now) const
{
    // Once the claim has lapsed, another sending may hold the key and run.
    const bool isCertain = !mayHaveRun_ && now < claimEnd_;
    return { code, isCertain ? Outcome::NotRun : Outcome::Unknown };
}

bool RequestMachine::mayBeSentAgain(bool isCertainlyNotRun) const
{
    if (isAnswerStarted_) {
        return traits_.isRepeatable_ && traits_.isResumable_;
    }
    return traits_.isRepeatable_ || isCertainlyNotRun;
}

} // namespace cowsliphead
