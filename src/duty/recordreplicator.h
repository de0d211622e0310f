#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <iterator>
#include <optional>
#include <random>
#include <utility>
#include <vector>

#include "core/clock.h"
#include "decide/fetchscheduler.h"
#include "decide/membership.h"
#include "duty/recordreader.h"
#include "duty/relaycandidate.h"
#include "peer/peerlink.h"
#include "peer/recordanswer.h"
#include "records/snapshotassembler.h"
#include "records/snapshotsource.h"
#include "store/store.h"

namespace cowsliphead
{

/// Keeps one daemon's records up to date and passes them on: fetches from relays, other peers and the store as FetchScheduler decides,
/// answers peers' queries, and is a relay while it holds a slot. Driven by tick(); uses no sockets itself.
/// Thread safety: all members, on the store's task only.
template <Clock C, Store S, PeerLink L>
class RecordReplicator
{
public:
    /// Callbacks to the owner: each new snapshot, each later time as of which the snapshot is confirmed to be the newest, each read
    /// from the store that failed or timed out, and each time the daemon becomes a relay or stops being one.
    struct Listener {
        std::function<void(const RecordSnapshot &)> onSnapshot_;
        std::function<void(MonotonicTime)> onConfirmed_;
        std::function<void()> onStoreFailed_;
        std::function<void(bool)> onRelayChanged_;
    };

    /// Interval at which tick() is to be called.
    static constexpr std::chrono::milliseconds TickInterval{ 50 };

    /// Precondition: clock, store and link outlive the replicator.
    RecordReplicator(const C &clock, S &store, L &link, const Member &self, std::vector<PeerAddress> seeds, std::uint64_t seed, Listener listener)
        : clock_(clock)
        , link_(link)
        , listener_(std::move(listener))
        , members_(self)
        , scheduler_(std::move(seeds), limits_, seed)
        , reader_(store, log_)
        , candidate_(clock, store, members_, seed)
        , random_(seed)
    {
    }

    RecordReplicator(const RecordReplicator &) = delete;
    RecordReplicator &operator=(const RecordReplicator &) = delete;

    /// Performs all actions that are due.
    void tick()
    {
        heartbeatIfDue();
        candidate_.tick(eligibleRelayCount());
        notifyRelayChange();
        expireOverdueFetches();
        fetchNext();
    }

    /// Answers a peer's query.
    RecordAnswer answer(const RecordQuery &query)
    {
        mergeMembers(query.members_);
        RecordAnswer answer;
        answer.number_ = query.number_;
        answer.head_ = log_.revision();
        if (scheduler_.confirmedAt() != MonotonicTime::min()) {
            answer.age_ = std::chrono::ceil<std::chrono::milliseconds>(clock_.now() - scheduler_.confirmedAt());
        }
        if (auto changes = log_.changesAfter(query.after_, MaxAnswerBytes)) {
            answer.changes_ = std::move(*changes);
        } else if (query.number_ != 0) {
            addSnapshotPart(query, answer);
        }
        answer.members_ = membersFor(query);
        return answer;
    }

    /// Handles a peer's answer. The changes in an answer to a query that is no longer pending are still applied if they fit the log.
    void receiveAnswer(const PeerAddress &peer, const RecordAnswer &answer)
    {
        mergeMembers(answer.members_);
        const auto before = log_.revision();
        for (const auto &change : answer.changes_) {
            log_.apply(change);
        }
        const bool isPending = pendingQuery_ && pendingQuery_->number_ == answer.number_ && pendingQuery_->peer_ == peer;
        if (isPending && answer.snapshot_ != 0) {
            addReceivedPart(answer);
        }
        publishIfNewer(before);
        if (isPending) {
            completeQuery(peer, answer, log_.revision() != before);
            fetchNext();
        }
    }

    const RecordSnapshot &snapshot() const
    {
        return log_.snapshot();
    }
    /// Returns the time as of which the records are confirmed to be the newest; MonotonicTime::min() if they never were.
    MonotonicTime confirmedAt() const
    {
        return scheduler_.confirmedAt();
    }
    bool isRelay() const
    {
        return candidate_.isRelay();
    }
    const Membership &members() const
    {
        return members_;
    }

private:
    struct PendingQuery {
        std::uint64_t number_ = 0;
        PeerAddress peer_;
        MonotonicTime askedAt_;
    };

    static constexpr std::chrono::milliseconds HeartbeatInterval{ 1000 };
    /// After this many heartbeats, members are exchanged with one other daemon, so that the traffic does not grow with the fleet.
    static constexpr int HeartbeatsPerExchange = 4;
    static constexpr std::size_t MembersPerExchange = 16;
    static constexpr std::size_t MaxAnswerBytes = std::size_t(48) << 10U;

    void notifyRelayChange()
    {
        if (wasRelay_ != candidate_.isRelay()) {
            wasRelay_ = !wasRelay_;
            listener_.onRelayChanged_(wasRelay_);
        }
    }

    void fetchNext()
    {
        if (pendingQuery_ || storeAskedAt_) {
            return;
        }
        const auto step = scheduler_.next(members_, candidate_.isRelay(), clock_.now());
        if (const auto *peer = std::get_if<FetchFromPeer>(&step)) {
            fetchFromPeer(peer->address_);
        } else if (std::holds_alternative<FetchFromStore>(step)) {
            fetchFromStore();
        }
    }

    void fetchFromPeer(const PeerAddress &peer)
    {
        pendingQuery_ = PendingQuery{ ++lastNumber_, peer, clock_.now() };
        auto query = newQuery(lastNumber_);
        query.snapshot_ = assembly_.revision();
        query.lastSnapshotKey_ = assembly_.lastKey();
        query.members_ = { members_.self() };
        link_.sendQuery(peer, query);
    }

    void fetchFromStore()
    {
        const auto askedAt = clock_.now();
        const auto before = log_.revision();
        const bool mayWait = candidate_.isRelay();
        storeAskedAt_ = askedAt;
        reader_.read(mayWait, [this, askedAt, before, mayWait](Result<bool> hasMore) {
            publishIfNewer(before);
            if (hasMore && !*hasMore) {
                confirm(askedAt);
            }
            if (storeAskedAt_ != askedAt) {
                return;
            }
            storeAskedAt_.reset();
            if (hasMore) {
                scheduler_.storeAnswered(*hasMore, mayWait, clock_.now());
            } else {
                scheduler_.storeFailed(clock_.now());
                listener_.onStoreFailed_();
            }
            fetchNext();
        });
    }

    void expireOverdueFetches()
    {
        const auto now = clock_.now();
        if (pendingQuery_ && now - pendingQuery_->askedAt_ >= limits_.answerTimeout_) {
            const auto peer = pendingQuery_->peer_;
            pendingQuery_.reset();
            assembly_.clear();
            scheduler_.peerFailed(peer, now);
        }
        if (storeAskedAt_ && now - *storeAskedAt_ >= limits_.storeTimeout_) {
            storeAskedAt_.reset();
            scheduler_.storeFailed(now);
            listener_.onStoreFailed_();
        }
    }

    void completeQuery(const PeerAddress &peer, const RecordAnswer &answer, bool hasAdvanced)
    {
        const auto askedAt = pendingQuery_->askedAt_;
        pendingQuery_.reset();
        const bool isBehind = log_.revision() < answer.head_;
        if (!isBehind && answer.age_) {
            // The peer's head was the newest revision at this time, and the local log contains all of it.
            confirm(askedAt - *answer.age_);
        }
        const bool hasMore = isBehind && (hasAdvanced || assembly_.revision() != 0);
        scheduler_.peerAnswered(peer, hasMore, clock_.now());
    }

    void confirm(MonotonicTime asOf)
    {
        const auto before = scheduler_.confirmedAt();
        scheduler_.confirm(asOf);
        if (scheduler_.confirmedAt() != before) {
            listener_.onConfirmed_(scheduler_.confirmedAt());
        }
    }

    void publishIfNewer(Revision before)
    {
        if (log_.revision() != before) {
            listener_.onSnapshot_(log_.snapshot());
        }
    }

    void addReceivedPart(const RecordAnswer &answer)
    {
        if (const auto whole = assembly_.add(SnapshotPart{ answer.snapshot_, answer.records_, answer.isLastPart_ })) {
            log_.install(whole);
        }
    }

    void addSnapshotPart(const RecordQuery &query, RecordAnswer &answer)
    {
        auto part = source_.part(*log_.snapshot(), query.snapshot_, query.lastSnapshotKey_, MaxAnswerBytes, clock_.now());
        answer.snapshot_ = part.revision_;
        answer.records_ = std::move(part.texts_);
        answer.isLastPart_ = part.isLast_;
    }

    void heartbeatIfDue()
    {
        if (clock_.now() < nextHeartbeat_) {
            return;
        }
        nextHeartbeat_ = clock_.now() + HeartbeatInterval;
        members_.updateSelf(candidate_.isRelay(), log_.revision());
        members_.removeExpired(clock_.now());
        if (++heartbeats_ % HeartbeatsPerExchange == 0) {
            exchangeMembers();
        }
    }

    /// The answer is not awaited; if it is lost, the next exchange makes up for it.
    void exchangeMembers()
    {
        const auto &others = members_.others();
        if (others.empty()) {
            return;
        }
        std::uniform_int_distribution<std::ptrdiff_t> pick(0, std::ssize(others) - 1);
        const auto peer = std::next(others.begin(), pick(random_))->second.member_.address_;
        if (pendingQuery_ && pendingQuery_->peer_ == peer) {
            return;
        }
        auto query = newQuery(0);
        query.members_ = members_.nextToGossip(MembersPerExchange);
        link_.sendQuery(peer, query);
    }

    RecordQuery newQuery(std::uint64_t number) const
    {
        RecordQuery query;
        query.number_ = number;
        query.after_ = log_.revision();
        return query;
    }

    std::vector<Member> membersFor(const RecordQuery &query)
    {
        if (query.wantsAllMembers_) {
            return members_.nextToGossip(members_.others().size());
        }
        // Other members are sent only in an exchange, or to a daemon that has no records yet.
        const bool isExchange = query.number_ == 0 || query.after_ == 0;
        return isExchange ? members_.nextToGossip(MembersPerExchange) : std::vector<Member>{ members_.self() };
    }

    void mergeMembers(const std::vector<Member> &members)
    {
        for (const auto &member : members) {
            members_.mergeMember(member, clock_.now());
        }
    }

    std::size_t eligibleRelayCount() const
    {
        std::size_t count = 0;
        for (const auto &[instance, sighting] : members_.others()) {
            const auto &member = sighting.member_;
            const bool isRelayOfOwnDomain = member.isRelay_ && member.failureDomain_ == members_.self().failureDomain_;
            count += isRelayOfOwnDomain && scheduler_.isEligible(member.address_, clock_.now()) ? 1 : 0;
        }
        return count;
    }

    const C &clock_;
    L &link_;
    Listener listener_;
    FetchLimits limits_;
    RecordLog log_;
    Membership members_;
    FetchScheduler scheduler_;
    RecordReader<S> reader_;
    RelayCandidate<C, S> candidate_;
    SnapshotSource source_;
    SnapshotAssembler assembly_;
    std::mt19937_64 random_;
    std::optional<PendingQuery> pendingQuery_;
    std::optional<MonotonicTime> storeAskedAt_;
    std::uint64_t lastNumber_ = 0;
    bool wasRelay_ = false;
    MonotonicTime nextHeartbeat_ = MonotonicTime::min();
    int heartbeats_ = 0;
};

} // namespace cowsliphead
