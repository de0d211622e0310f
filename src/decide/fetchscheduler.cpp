#include "decide/fetchscheduler.h"

#include <algorithm>
#include <utility>

#include "decide/membership.h"

namespace cowsliphead
{

namespace
{

/// Whom an unconfirmed daemon asks in turn.
enum class Turn : unsigned {
    OwnRelays,
    Neighbours,
    OtherRelays,
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
    if (now < nextQuestion_) {
        return FetchWait{};
    }
    if (unfinished_) {
        return FetchFromPeer{ *unfinished_ };
    }
    if (isRelay && now >= nextStoreQuestion_) {
        return FetchFromStore{};
    }
    const auto relays = relaysOf(members, true, now);
    if (isRelay || relays.empty() || !isConfirmed(now)) {
        return nextUnconfirmed(members, now);
    }
    const bool isKnown = std::find(relays.begin(), relays.end(), lastPeer_) != relays.end();
    return isKnown ? FetchStep(FetchFromPeer{ lastPeer_ }) : askOneOf(relays);
}

void FetchScheduler::confirm(MonotonicTime asOf)
{
    confirmedAt_ = std::max(confirmedAt_, asOf);
}

void FetchScheduler::peerAnswered(const PeerAddress &peer, bool hasMore, MonotonicTime now)
{
    pausedUntil_.erase(peer);
    lastPeer_ = peer;
    unfinished_ = hasMore ? std::optional(peer) : std::nullopt;
    nextQuestion_ = now;
    if (!hasMore) {
        nextQuestion_ += isConfirmed(now) ? limits_.interval_ : limits_.retryInterval_;
    }
}

void FetchScheduler::peerFailed(const PeerAddress &peer, MonotonicTime now)
{
    pausedUntil_[peer] = now + limits_.peerPause_;
    unfinished_.reset();
    nextQuestion_ = now;
}

void FetchScheduler::storeAnswered(bool hasMore, bool isRelay, MonotonicTime now)
{
    // A relay's question waits in the store, so it is put again at once.
    const bool isAtOnce = hasMore || isRelay;
    nextQuestion_ = isAtOnce ? now : now + limits_.interval_;
    nextStoreQuestion_ = isAtOnce ? now : now + limits_.storeInterval_;
}

void FetchScheduler::storeFailed(MonotonicTime now)
{
    nextQuestion_ = now;
    nextStoreQuestion_ = now + limits_.storeInterval_;
}

MonotonicTime FetchScheduler::confirmedAt() const
{
    return confirmedAt_;
}

bool FetchScheduler::isEligible(const PeerAddress &peer, MonotonicTime now) const
{
    const auto found = pausedUntil_.find(peer);
    return found == pausedUntil_.end() || now >= found->second;
}

FetchStep FetchScheduler::nextUnconfirmed(const Membership &members, MonotonicTime now)
{
    if (isStoreDue(now)) {
        return FetchFromStore{};
    }
    for (unsigned tried = 0; tried < static_cast<unsigned>(Turn::Count); ++tried) {
        const auto peers = candidates(members, turn_++, now);
        if (!peers.empty()) {
            return askOneOf(peers);
        }
    }
    nextQuestion_ = now + limits_.retryInterval_;
    return FetchWait{};
}

std::vector<PeerAddress> FetchScheduler::relaysOf(const Membership &members, bool inOwnDomain, MonotonicTime now) const
{
    std::vector<PeerAddress> relays;
    for (const auto &[instance, sighting] : members.others()) {
        const auto &member = sighting.member_;
        const bool isInDomain = member.failureDomain_ == members.self().failureDomain_;
        if (member.isRelay_ && isInDomain == inOwnDomain && isEligible(member.address_, now)) {
            relays.push_back(member.address_);
        }
    }
    return relays;
}

std::vector<PeerAddress> FetchScheduler::neighboursOf(const Membership &members, MonotonicTime now) const
{
    std::vector<PeerAddress> neighbours;
    for (const auto &[instance, sighting] : members.others()) {
        const auto &member = sighting.member_;
        if (member.failureDomain_ == members.self().failureDomain_ && isEligible(member.address_, now)) {
            neighbours.push_back(member.address_);
        }
    }
    return neighbours;
}

std::vector<PeerAddress> FetchScheduler::candidates(const Membership &members, unsigned turn, MonotonicTime now) const
{
    switch (static_cast<Turn>(turn % static_cast<unsigned>(Turn::Count))) {
    case Turn::OwnRelays:
        return relaysOf(members, true, now);
    case Turn::Neighbours:
        return neighboursOf(members, now);
    case Turn::OtherRelays:
        return relaysOf(members, false, now);
    default:
        break;
    }
    std::vector<PeerAddress> askable;
    for (const auto &seed : seeds_) {
        if (seed != members.self().address_ && isEligible(seed, now)) {
            askable.push_back(seed);
        }
    }
    return askable;
}

bool FetchScheduler::isConfirmed(MonotonicTime now) const
{
    return confirmedAt_ != MonotonicTime::min() && now - confirmedAt_ < limits_.storeAfter_;
}

bool FetchScheduler::isStoreDue(MonotonicTime now) const
{
    // A new daemon tries a peer first, which has all records at hand.
    const bool hasPeersToTry = turn_ == 0 && !seeds_.empty();
    return !hasPeersToTry && !isConfirmed(now) && now >= nextStoreQuestion_;
}

FetchStep FetchScheduler::askOneOf(const std::vector<PeerAddress> &peers)
{
    std::uniform_int_distribution<std::size_t> pick(0, peers.size() - 1);
    return FetchFromPeer{ peers[pick(random_)] };
}

} // namespace cowsliphead
