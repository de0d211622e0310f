#include "gateway/drainschedule.h"

#include <algorithm>

namespace cowsliphead
{

namespace
{

/// The balancer takes an instance out after two answers of 503, one a second; callers come until then.
constexpr std::chrono::milliseconds CallersLeave{ 3000 };

/// What is left of the grace when the last answers are given: time to write them out and to store the last usage counts.
constexpr std::chrono::milliseconds EndMargin{ 700 };

/// What the last answers get of it: a round trip to a caller whose packet is lost and sent again.
constexpr std::chrono::milliseconds WriteOutTime{ 250 };

} // namespace

DrainSchedule::DrainSchedule(MonotonicTime startedAt, std::chrono::milliseconds grace)
    : endsAt_(startedAt + grace - EndMargin)
    , announcedUntil_(std::min(startedAt + CallersLeave, endsAt_))
    , overAt_(endsAt_ + WriteOutTime)
{
}

bool DrainSchedule::isAnnounced(MonotonicTime now) const
{
    return now < announcedUntil_;
}

bool DrainSchedule::takes(std::chrono::milliseconds timeLimit, MonotonicTime now) const
{
    return isAnnounced(now) || now + timeLimit <= endsAt_;
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
