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
    if (!drainStart_) {
        drainStart_ = now;
    }
}

void DrainMachine::requestArrived(MonotonicTime now)
{
    lastArrival_ = now;
}

bool DrainMachine::isDraining() const
{
    return drainStart_.has_value();
}

bool DrainMachine::mayCloseListener(MonotonicTime now) const
{
    return drainStart_ && now >= *drainStart_ + policy_.announcePeriod_;
}

bool DrainMachine::mayEnd(MonotonicTime now, bool isIdle) const
{
    return mayCloseListener(now) && isIdle && now >= quietPeriodEnd();
}

std::optional<std::chrono::nanoseconds> DrainMachine::nextCheck(MonotonicTime now, bool isIdle) const
{
    if (!drainStart_) {
        return std::nullopt;
    }
    if (!mayCloseListener(now)) {
        return *drainStart_ + policy_.announcePeriod_ - now;
    }
    if (!isIdle) {
        return std::nullopt;
    }
    return std::max(quietPeriodEnd() - now, MonotonicTime::duration(0));
}

MonotonicTime DrainMachine::quietPeriodEnd() const
{
    const auto listenerClosed = *drainStart_ + policy_.announcePeriod_;
    return std::max(listenerClosed, lastArrival_) + policy_.quietPeriod_;
}

} // namespace cowsliphead
