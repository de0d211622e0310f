#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <random>

#include "core/time.h"

namespace cowsliphead
{

/// Decides when a daemon tries to become a relay of its failure domain, renews its lease, and stops being one. Two relays at
/// once in a slot do no harm: the lease only bounds how many daemons watch the store.
class RelayElection
{
public:
    enum class Step {
        Nothing,
        AcquireSlot, ///< Look for a vacant slot and take it.
        Renew, ///< Renew the lease.
    };

    /// Relays of one failure domain.
    static constexpr std::size_t SlotCount = 2;
    static constexpr std::chrono::milliseconds LeaseDuration{ 4000 };

    /// Thread safety: owner task only.
    explicit RelayElection(std::uint64_t seed);

    /// What to do now; the owner answers each step other than Nothing with one of the calls below. eligibleRelays counts the
    /// other relays of the failure domain that answer. Thread safety: owner task only.
    Step next(std::size_t eligibleRelays, MonotonicTime now);
    /// A slot was taken, or the lease was renewed, by a call that was made at this time. Thread safety: owner task only.
    void held(MonotonicTime askedAt);
    /// No slot is vacant, the lease has lapsed, or the store did not answer. Thread safety: owner task only.
    void notHeld(MonotonicTime now);
    /// The renewal was not answered; the lease may still be valid. Thread safety: owner task only.
    void renewalUnanswered(MonotonicTime now);
    /// True while the lease is valid on this daemon's clock. Thread safety: owner task only.
    bool isRelay(MonotonicTime now) const;

private:
    static constexpr std::chrono::milliseconds RenewInterval{ 1200 };
    static constexpr std::chrono::milliseconds ContendInterval{ 2000 };

    std::mt19937_64 random_;
    bool isBusy_ = false;
    bool isHeld_ = false;
    MonotonicTime validUntil_ = MonotonicTime::min();
    MonotonicTime nextStep_ = MonotonicTime::min();
};

} // namespace cowsliphead
