#include "relay/fleetsize.h"

#include <algorithm>
#include <utility>

namespace cowsliphead
{

void FleetSize::restart(MonotonicTime now)
{
    startedAt_ = now;
    periodStartedAt_ = now;
    largest_ = 0;
    largestBefore_ = 0;
}

void FleetSize::record(std::size_t gateways, MonotonicTime now)
{
    if (now - periodStartedAt_ >= Period) {
        periodStartedAt_ = now;
        largestBefore_ = std::exchange(largest_, 0);
    }
    largest_ = std::max(largest_, gateways);
}

std::size_t FleetSize::value(MonotonicTime now) const
{
    return now - startedAt_ < SettleTime ? 0 : std::max(largest_, largestBefore_);
}

} // namespace cowsliphead
