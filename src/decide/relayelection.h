#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <random>

#include "core/time.h"

namespace cowsliphead
{

/// Decides when a daemon tries to become a relay of its failure domain, renews its lease, and stops being a relay. Two relays in one
/// slot at the same time are harmless: the lease only limits how many daemons watch the store. Thread safety: owner task only.
class RelayElection
{
public:
    enum class Step {
        Nothing,
        AcquireSlot, ///< Look for a vacant slot and take it.
        Renew, ///< Renew the lease.
    };

    /// Number of relays of one failure domain.
    static constexpr std::size_t SlotCount = 2;
    static constexpr std::chrono::milliseconds LeaseDuration{ 4000 };

    explicit RelayElection(std::uint64_t seed);

    /// Returns the next step. The owner reports the result of each step other than Nothing with one of the calls below.
    /// eligibleRelays: number of other relays of the failure domain that answer.
    Step next(std::size_t eligibleRelays, MonotonicTime now);
    /// A slot was taken, or the lease was renewed, by a call made at askedAt.
    void held(MonotonicTime askedAt);
    /// No slot is vacant, the lease has expired, or the store did not answer.
    void notHeld(MonotonicTime now);
    /// The renewal was not answered; the lease may still be valid.
    void renewalUnanswered(MonotonicTime now);
    /// True while the lease is valid on this daemon's clock.
    bool isRelay(MonotonicTime now) const;

private:
    static constexpr std::chrono::milliseconds RenewInterval{ 1200 };
    static constexpr std::chrono::milliseconds AcquireInterval{ 2000 };

    std::mt19937_64 random_;
    bool isStepPending_ = false;
    bool isHeld_ = false;
    MonotonicTime validUntil_ = MonotonicTime::min();
    MonotonicTime nextStep_ = MonotonicTime::min();
};

} // namespace cowsliphead
