#include "decide/relayelection.h"

namespace cowsliphead
{

RelayElection::RelayElection(std::uint64_t seed)
    : random_(seed)
{
}

RelayElection::Step RelayElection::next(std::size_t eligibleRelays, MonotonicTime now)
{
    if (isStepPending_ || now < nextStep_) {
        return Step::Nothing;
    }
    if (isRelay(now)) {
        isStepPending_ = true;
        return Step::Renew;
    }
    isHeld_ = false;
    if (eligibleRelays >= SlotCount) {
        return Step::Nothing;
    }
    isStepPending_ = true;
    return Step::AcquireSlot;
}

void RelayElection::held(MonotonicTime askedAt)
{
    isStepPending_ = false;
    isHeld_ = true;
    validUntil_ = askedAt + LeaseDuration;
    nextStep_ = askedAt + RenewInterval;
}

void RelayElection::notHeld(MonotonicTime now)
{
    isStepPending_ = false;
    isHeld_ = false;
    // The random delay keeps the daemons of a failure domain from asking the store all at the same time.
    std::uniform_int_distribution<std::chrono::milliseconds::rep> jitter(0, AcquireInterval.count());
    nextStep_ = now + AcquireInterval + std::chrono::milliseconds(jitter(random_));
}

void RelayElection::renewalUnanswered(MonotonicTime now)
{
    isStepPending_ = false;
    nextStep_ = now + RenewInterval / 4;
}

bool RelayElection::isRelay(MonotonicTime now) const
{
    return isHeld_ && now < validUntil_;
}

} // namespace cowsliphead
