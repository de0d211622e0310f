#include "decide/fetchscheduler.h"

#include <algorithm>
#include <utility>

#include "decide/membership.h"

namespace cowsliphead
{

namespace
{

/// The groups of peers that a daemon with unconfirmed records asks in rotation.
enum class PeerGroup : unsigned {
    LocalRelays,
    LocalPeers,
    RemoteRelays,
    Seeds,
    Count,
};

} // namespace

FetchScheduler::FetchScheduler(std::vector<PeerAddress> seeds, const FetchLimits &limits, std::uint64_t seed)
    : seeds_(std::move(seeds))
    , limits_(limits)
    , random_(seed)
{
}

FetchStep FetchScheduler::next(const Membership &members, bool isRelay, MonotonicTime now)
{
    if (now < nextRequestAt_) {
        return FetchWait{};
    }
    if (peerWithMore_) {
        return FetchFromPeer{ *peerWithMore_ };
    }
    if (isRelay && now >= nextStoreRequestAt_) {
        return FetchFromStore{};
    }
    const auto relays = relaysOf(members, true, now);
    if (isRelay || relays.empty() || !isConfirmed(now)) {
        return nextUnconfirmed(members, now);
    }
    const bool isKnown = std::find(relays.begin(), relays.end(), lastPeer_) != relays.end();
    return isKnown ? FetchStep(FetchFromPeer{ lastPeer_ }) : fetchFromOneOf(relays);
}

void FetchScheduler::confirm(MonotonicTime asOf)
{
    confirmedAt_ = std::max(confirmedAt_, asOf);
}

void FetchScheduler::peerAnswered(const PeerAddress &peer, bool hasMore, MonotonicTime now)
{
    skippedUntil_.erase(peer);
    lastPeer_ = peer;
    peerWithMore_ = hasMore ? std::optional(peer) : std::nullopt;
    nextRequestAt_ = now;
    if (!hasMore) {
        nextRequestAt_ += isConfirmed(now) ? limits_.interval_ : limits_.retryInterval_;
    }
}

void FetchScheduler::peerFailed(const PeerAddress &peer, MonotonicTime now)
{
    skippedUntil_[peer] = now + limits_.failedPeerDelay_;
    peerWithMore_.reset();
    nextRequestAt_ = now;
}

void FetchScheduler::storeAnswered(bool hasMore, bool isRelay, MonotonicTime now)
{
    // The store holds a relay's request until there is a change, so the next request follows at once.
    const bool fetchesAtOnce = hasMore || isRelay;
    nextRequestAt_ = fetchesAtOnce ? now : now + limits_.interval_;
    nextStoreRequestAt_ = fetchesAtOnce ? now : now + limits_.storeInterval_;
}

void FetchScheduler::storeFailed(MonotonicTime now)
{
    nextRequestAt_ = now;
    nextStoreRequestAt_ = now + limits_.storeInterval_;
}

MonotonicTime FetchScheduler::confirmedAt() const
{
    return confirmedAt_;
}

bool FetchScheduler::isEligible(const PeerAddress &peer, MonotonicTime now) const
{
    const auto found = skippedUntil_.find(peer);
    return found == skippedUntil_.end() || now >= found->second;
}

FetchStep FetchScheduler::nextUnconfirmed(const Membership &members, MonotonicTime now)
{
    if (isStoreDue(now)) {
        return FetchFromStore{};
    }
    for (unsigned tried = 0; tried < static_cast<unsigned>(PeerGroup::Count); ++tried) {
        const auto peers = candidates(members, rotation_++, now);
        if (!peers.empty()) {
            return fetchFromOneOf(peers);
        }
    }
    nextRequestAt_ = now + limits_.retryInterval_;
    return FetchWait{};
}

std::vector<PeerAddress> FetchScheduler::relaysOf(const Membership &members, bool inOwnDomain, MonotonicTime now) const
{
    std::vector<PeerAddress> relays;
    for (const auto &[instance, tracked] : members.others()) {
        const auto &member = tracked.member_;
        const bool isInDomain = member.failureDomain_ == members.self().failureDomain_;
        if (member.isRelay_ && isInDomain == inOwnDomain && isEligible(member.address_, now)) {
            relays.push_back(member.address_);
        }
    }
    return relays;
}

std::vector<PeerAddress> FetchScheduler::localPeersOf(const Membership &members, MonotonicTime now) const
{
    std::vector<PeerAddress> peers;
    for (const auto &[instance, tracked] : members.others()) {
        const auto &member = tracked.member_;
        if (member.failureDomain_ == members.self().failureDomain_ && isEligible(member.address_, now)) {
            peers.push_back(member.address_);
        }
    }
    return peers;
}

std::vector<PeerAddress> FetchScheduler::candidates(const Membership &members, unsigned rotation, MonotonicTime now) const
{
    switch (static_cast<PeerGroup>(rotation % static_cast<unsigned>(PeerGroup::Count))) {
    case PeerGroup::LocalRelays:
        return relaysOf(members, true, now);
    case PeerGroup::LocalPeers:
        return localPeersOf(members, now);
    case PeerGroup::RemoteRelays:
        return relaysOf(members, false, now);
    default:
        break;
    }
    std::vector<PeerAddress> eligible;
    for (const auto &seed : seeds_) {
        if (seed != members.self().address_ && isEligible(seed, now)) {
            eligible.push_back(seed);
        }
    }
    return eligible;
}

bool FetchScheduler::isConfirmed(MonotonicTime now) const
{
    return confirmedAt_ != MonotonicTime::min() && now - confirmedAt_ < limits_.storeFallbackDelay_;
}

bool FetchScheduler::isStoreDue(MonotonicTime now) const
{
    // A new daemon tries a peer first, since peers hold all records.
    const bool hasPeersToTry = rotation_ == 0 && !seeds_.empty();
    return !hasPeersToTry && !isConfirmed(now) && now >= nextStoreRequestAt_;
}

FetchStep FetchScheduler::fetchFromOneOf(const std::vector<PeerAddress> &peers)
{
    std::uniform_int_distribution<std::size_t> pick(0, peers.size() - 1);
    return FetchFromPeer{ peers[pick(random_)] };
}

} // namespace cowsliphead
