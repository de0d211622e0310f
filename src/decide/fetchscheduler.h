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

/// Decides whom a daemon asks next for newer records, and knows since when they are confirmed. A relay of the own failure domain
/// comes first; while nobody confirms, other peers and the store take turns. It knows no socket and no clock.
class FetchScheduler
{
public:
    /// seeds are asked while no member is known. Thread safety: owner task only.
    FetchScheduler(std::vector<PeerAddress> seeds, const FetchLimits &limits, std::uint64_t seed);

    /// The next question, if it is time for one. Precondition: the one before was answered or has failed. Thread safety: owner task only.
    FetchStep next(const Membership &members, bool isRelay, MonotonicTime now);

    /// The records are known to have been the newest at this time; an earlier time than known changes nothing. Thread safety: owner task only.
    void confirm(MonotonicTime asOf);
    /// The peer has answered, and there is more to fetch from it at once or not. Thread safety: owner task only.
    void peerAnswered(const PeerAddress &peer, bool hasMore, MonotonicTime now);
    /// The peer did not answer in time. Thread safety: owner task only.
    void peerFailed(const PeerAddress &peer, MonotonicTime now);
    /// The store has answered, and there is more to fetch at once or not. Thread safety: owner task only.
    void storeAnswered(bool hasMore, bool isRelay, MonotonicTime now);
    /// Thread safety: owner task only.
    void storeFailed(MonotonicTime now);

    /// Since when the records are confirmed; the earliest time of all if they never were. Thread safety: owner task only.
    MonotonicTime confirmedAt() const;
    /// True if the peer may be asked: it did not fail a short while ago. Thread safety: owner task only.
    bool isEligible(const PeerAddress &peer, MonotonicTime now) const;

private:
    FetchStep nextUnconfirmed(const Membership &members, MonotonicTime now);
    std::vector<PeerAddress> relaysOf(const Membership &members, bool inOwnDomain, MonotonicTime now) const;
    std::vector<PeerAddress> neighboursOf(const Membership &members, MonotonicTime now) const;
    std::vector<PeerAddress> candidates(const Membership &members, unsigned turn, MonotonicTime now) const;
    bool isConfirmed(MonotonicTime now) const;
    bool isStoreDue(MonotonicTime now) const;
    FetchStep askOneOf(const std::vector<PeerAddress> &peers);

    std::vector<PeerAddress> seeds_;
    FetchLimits limits_;
    std::mt19937_64 random_;
    MonotonicTime confirmedAt_ = MonotonicTime::min();
    MonotonicTime nextQuestion_ = MonotonicTime::min();
    MonotonicTime nextStoreQuestion_ = MonotonicTime::min();
    std::map<PeerAddress, MonotonicTime> pausedUntil_;
    /// Takes the sorts of candidates in turn while nobody confirms.
    unsigned turn_ = 0;
    /// The peer that answered last is asked again if it is a relay, so that its connection is used.
    PeerAddress lastPeer_;
    /// A peer that has more to give at once.
    std::optional<PeerAddress> unfinished_;
};

} // namespace cowsliphead
