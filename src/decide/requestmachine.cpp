#include "decide/requestmachine.h"

#include "core/errorcode.h"
#include "decide/attemptfailure.h"

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

RequestStep RequestMachine::claimGranted(MonotonicTime now)
{
    return dispatch(now);
}

RequestStep RequestMachine::claimRefused(std::error_code code)
{
    return fail(code);
}

RequestStep RequestMachine::noEndpoint()
{
    return fail(make_error_code(ErrorCode::EndpointUnavailable));
}

RequestStep RequestMachine::refused(std::error_code code)
{
    return fail(code);
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
    const bool isCertainlyNotRun = !attempt.wasOffered_ || attempt.wasRefusedWhole_;
    mayHaveRun_ = mayHaveRun_ || !isCertainlyNotRun;
    if (!mayBeSentAgain(isCertainlyNotRun)) {
        return fail(attempt.code_);
    }
    if (attempts_ >= traits_.maxAttempts_ || !mayRetry) {
        return fail(attempt.code_);
    }
    return dispatch(now);
}

bool RequestMachine::mayHaveRun() const
{
    return mayHaveRun_;
}

RequestStep RequestMachine::dispatch(MonotonicTime now)
{
    if (now >= traits_.deadline_) {
        return fail(make_error_code(ErrorCode::DeadlineUnreachable));
    }
    ++attempts_;
    return DispatchStep{ attempts_ };
}

FailStep RequestMachine::fail(std::error_code code) const
{
    return { code, mayHaveRun_ ? Outcome::Unknown : Outcome::NotRun };
}

bool RequestMachine::mayBeSentAgain(bool isCertainlyNotRun) const
{
    if (isAnswerStarted_) {
        return traits_.isRepeatable_ && traits_.isResumable_;
    }
    return traits_.isRepeatable_ || isCertainlyNotRun;
}

} // namespace cowsliphead
