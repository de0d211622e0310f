#include "gateway/drainschedule.h"

#include <algorithm>

namespace cowsliphead
{

namespace
{

/// The load balancer probes once a second and removes an instance after two responses of 503; new callers arrive until then.
constexpr std::chrono::milliseconds BalancerRemovalTime{ 3000 };

/// Time between the final responses and the end of the grace period, to write the responses and to store the last usage counts.
constexpr std::chrono::milliseconds EndMargin{ 700 };

/// The part of EndMargin for writing the final responses: a round trip to a caller, with one packet lost and retransmitted.
constexpr std::chrono::milliseconds WriteOutTime{ 250 };

} // namespace

DrainSchedule::DrainSchedule(MonotonicTime startedAt, std::chrono::milliseconds grace)
    : endsAt_(startedAt + grace - EndMargin)
    , newCallersUntil_(std::min(startedAt + BalancerRemovalTime, endsAt_))
    , overAt_(endsAt_ + WriteOutTime)
{
}

bool DrainSchedule::mayGetNewCallers(MonotonicTime now) const
{
    return now < newCallersUntil_;
}

bool DrainSchedule::accepts(std::chrono::milliseconds timeLimit, MonotonicTime now) const
{
    return mayGetNewCallers(now) || now + timeLimit <= endsAt_;
}

bool DrainSchedule::isEnding(MonotonicTime now) const
{
    return now >= endsAt_;
}

bool DrainSchedule::isOver(MonotonicTime now) const
{
    return now >= overAt_;
}

} // namespace cowsliphead
