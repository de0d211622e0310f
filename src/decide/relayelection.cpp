#include "decide/relayelection.h"

namespace cowsliphead
{

RelayElection::RelayElection(std::uint64_t seed)
    : random_(seed)
{
}

RelayElection::Step RelayElection::next(std::size_t eligibleRelays, MonotonicTime now)
{
    if (isBusy_ || now < nextStep_) {
        return Step::Nothing;
    }
    if (isRelay(now)) {
        isBusy_ = true;
        return Step::Renew;
    }
    isHeld_ = false;
    if (eligibleRelays >= SlotCount) {
        return Step::Nothing;
    }
    isBusy_ = true;
    return Step::AcquireSlot;
}

void RelayElection::held(MonotonicTime askedAt)
{
    isBusy_ = false;
    isHeld_ = true;
    validUntil_ = askedAt + LeaseDuration;
    nextStep_ = askedAt + RenewInterval;
}

void RelayElection::notHeld(MonotonicTime now)
{
    isBusy_ = false;
    isHeld_ = false;
    // The spread keeps the daemons of a failure domain from asking all at the same time.
    std::uniform_int_distribution<std::chrono::milliseconds::rep> spread(0, ContendInterval.count());
    nextStep_ = now + ContendInterval + std::chrono::milliseconds(spread(random_));
}

void RelayElection::renewalUnanswered(MonotonicTime now)
{
    isBusy_ = false;
    nextStep_ = now + RenewInterval / 4;
}

bool RelayElection::isRelay(MonotonicTime now) const
{
    return isHeld_ && now < validUntil_;
}

} // namespace cowsliphead
