#include "gateway/requestattempts.h"

#include "fleet/route.h"
#include "gateway/retryallowance.h"

namespace cowsliphead
{

void RequestAttempts::dispatched()
{
    ++dispatches_;
}

void RequestAttempts::prefillFailed()
{
    ++arrivals_;
}

void RequestAttempts::ended(AttemptEnd end)
{
    if (end == AttemptEnd::NotOffered) {
        ++failedConnects_;
        ++failedConnectsInARow_;
        return;
    }
    failedConnectsInARow_ = 0;
    ++arrivals_;
    if (end == AttemptEnd::Lost || end == AttemptEnd::Failed || end == AttemptEnd::Unproven) {
        ++runs_;
    }
}

bool RequestAttempts::mayRunOnAnotherEndpoint(const Route &route) const
{
    return route.mayRunAgain() && runs_ + 1 < route.maxAttempts_;
}

RequestProgress RequestAttempts::progress(const Route &route, const RetryAllowance &retryBudget, bool mayWait) const
{
    return {
        .mayRunAgain_ = route.mayRunAgain(),
        .mayHaveRun_ = mayHaveRun(),
        .hasAttemptsLeft_ = runs_ < route.maxAttempts_,
        .isWithinRetryBudget_ = mayWait || (arrivals_ == 0 && failedConnects_ < MaxFailedConnects) || retryBudget.hasRetryLeft(),
    };
}

} // namespace cowsliphead
