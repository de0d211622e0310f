#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <vector>

#include "core/time.h"
#include "decide/fetchlimits.h"
#include "decide/fetchstep.h"
#include "decide/peeraddress.h"

namespace cowsliphead
{

class Membership;
struct Member;

/// Decides when a daemon fetches newer records and from which peer, or from the store, and tracks when the records were last
/// confirmed to be current. Relays of its own failure domain come first; while the records are unconfirmed, other peers and the store
/// are asked in rotation. It performs no I/O and reads no clock. Thread safety: owner task only.
class FetchScheduler
{
public:
    /// seeds: addresses to ask besides the known members, for example while no member is known.
    FetchScheduler(std::vector<PeerAddress> seeds, const FetchLimits &limits, std::uint64_t seed);

    /// Returns the next request, if one is due. Precondition: the previous request was answered or has failed.
    FetchStep next(const Membership &members, bool isRelay, MonotonicTime now);

    /// The records are known to have been current at this time; a time before the last confirmation changes nothing.
    void confirm(MonotonicTime asOf);
    /// The peer has answered. hasMore: it has more changes to fetch at once.
    void peerAnswered(const PeerAddress &peer, bool hasMore, MonotonicTime now);
    /// The peer did not answer in time.
    void peerFailed(const PeerAddress &peer, MonotonicTime now);
    /// The store has answered. hasMore: it has more changes to fetch at once.
    void storeAnswered(bool hasMore, bool isRelay, MonotonicTime now);
    void storeFailed(MonotonicTime now);

    /// The time of the last confirmation; the minimum time point if there was none.
    MonotonicTime confirmedAt() const;
    /// True if the peer may be asked: it has not failed recently.
    bool isEligible(const PeerAddress &peer, MonotonicTime now) const;

private:
    FetchStep nextUnconfirmed(const Membership &members, MonotonicTime now);
    std::vector<PeerAddress> relaysOf(const Membership &members, bool inOwnDomain, MonotonicTime now) const;
    std::vector<PeerAddress> localPeersOf(const Membership &members, MonotonicTime now) const;
    std::vector<PeerAddress> candidates(const Membership &members, unsigned rotation, MonotonicTime now) const;
    bool isConfirmed(MonotonicTime now) const;
    bool isStoreDue(MonotonicTime now) const;
    FetchStep fetchFromOneOf(const std::vector<PeerAddress> &peers);

    std::vector<PeerAddress> seeds_;
    FetchLimits limits_;
    std::mt19937_64 random_;
    MonotonicTime confirmedAt_ = MonotonicTime::min();
    MonotonicTime nextRequestAt_ = MonotonicTime::min();
    MonotonicTime nextStoreRequestAt_ = MonotonicTime::min();
    std::map<PeerAddress, MonotonicTime> skippedUntil_;
    /// Rotates through the peer groups while the records are unconfirmed.
    unsigned rotation_ = 0;
    /// The peer that answered last. It is asked again while it is a relay, so that its connection is reused.
    PeerAddress lastPeer_;
    /// A peer that has more changes to fetch at once.
    std::optional<PeerAddress> peerWithMore_;
};

} // namespace cowsliphead
