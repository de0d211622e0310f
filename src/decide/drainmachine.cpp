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

bool DrainMachine::accepts(MonotonicTime deadline, MonotonicTime now) const
{
    return !mayCloseListener(now) || deadline <= endingStart();
}

bool DrainMachine::isEnding(MonotonicTime now) const
{
    return drainStart_ && now >= endingStart();
}

bool DrainMachine::mayEnd(MonotonicTime now, bool isIdle) const
{
    if (isEnding(now)) {
        return isIdle || now >= lastExit();
    }
    return mayCloseListener(now) && isIdle && now >= quietPeriodEnd();
}

std::optional<std::chrono::nanoseconds> DrainMachine::nextCheck(MonotonicTime now, bool isIdle) const
{
    if (!drainStart_) {
        return std::nullopt;
    }
    auto next = isEnding(now) ? lastExit() : endingStart();
    if (!mayCloseListener(now)) {
        next = std::min(next, *drainStart_ + policy_.announcePeriod_);
    } else if (isIdle) {
        next = std::min(next, quietPeriodEnd());
    }
    return std::max(next - now, MonotonicTime::duration(0));
}

MonotonicTime DrainMachine::quietPeriodEnd() const
{
    const auto listenerClosed = *drainStart_ + policy_.announcePeriod_;
    return std::max(listenerClosed, lastArrival_) + policy_.quietPeriod_;
}

MonotonicTime DrainMachine::endingStart() const
{
    return *drainStart_ + policy_.grace_ - std::min<std::chrono::milliseconds>(MaxEndMargin, policy_.grace_ / EndMarginDivisor);
}

MonotonicTime DrainMachine::lastExit() const
{
    const auto end = *drainStart_ + policy_.grace_;
    return endingStart() + (end - endingStart()) / 2;
}

} // namespace cowsliphead
