#include "decide/drainmachine.h"

#include <algorithm>

namespace cowsliphead
{

DrainMachine::DrainMachine(const DrainPolicy &policy)
    : policy_(policy)
{
}

void DrainMachine::begin(MonotonicTime now)
{
    if (!begun_) {
        begun_ = now;
    }
}

void DrainMachine::requestArrived(MonotonicTime now)
{
    lastArrival_ = now;
}

bool DrainMachine::isDraining() const
{
    return begun_.has_value();
}

bool DrainMachine::mayCloseListener(MonotonicTime now) const
{
    return begun_ && now >= *begun_ + policy_.announcePeriod_;
}

bool DrainMachine::mayEnd(MonotonicTime now, bool isIdle) const
{
    return mayCloseListener(now) && isIdle && now >= endOfQuiet();
}

std::optional<std::chrono::nanoseconds> DrainMachine::nextCheck(MonotonicTime now, bool isIdle) const
{
    if (!begun_) {
        return std::nullopt;
    }
    if (!mayCloseListener(now)) {
        return *begun_ + policy_.announcePeriod_ - now;
    }
    if (!isIdle) {
        return std::nullopt;
    }
    return std::max(endOfQuiet() - now, MonotonicTime::duration(0));
}

MonotonicTime DrainMachine::endOfQuiet() const
{
    const auto closed = *begun_ + policy_.announcePeriod_;
    return std::max(closed, lastArrival_) + policy_.quietPeriod_;
}

} // namespace cowsliphead
