#include "gateway/requesttally.h"

#include "fleet/route.h"
#include "gateway/retryallowance.h"

namespace cowsliphead
{

void RequestTally::dispatched()
{
    ++dispatches_;
}

void RequestTally::promptRefused()
{
    ++arrivals_;
}

void RequestTally::ended(AttemptEnd end)
{
    if (end == AttemptEnd::NotOffered) {
        ++unopened_;
        return;
    }
    ++arrivals_;
    if (end == AttemptEnd::Lost || end == AttemptEnd::Failed) {
        ++runs_;
    }
}

bool RequestTally::mayRunOnceMore(const Route &route) const
{
    return route.mayRunAgain() && runs_ + 1 < route.maxAttempts_;
}

RequestProgress RequestTally::progress(const Route &route, const RetryAllowance &allowance) const
{
    return {
        .mayRunAgain_ = route.mayRunAgain(),
        .mayHaveRun_ = mayHaveRun(),
        .hasAttemptsLeft_ = runs_ < route.maxAttempts_,
        .canAffordRetry_ = (arrivals_ == 0 && unopened_ < MostUnopened) || allowance.hasRoom(),
    };
}

} // namespace cowsliphead
