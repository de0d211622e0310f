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
#include "duty/relayseat.h"
#include "peer/peerlink.h"
#include "peer/recordanswer.h"
#include "records/snapshotassembler.h"
#include "records/snapshotsource.h"
#include "store/store.h"

namespace cowsliphead
{

/// Keeps one daemon's records up to date and passes them on: asks relays, other peers and the store as FetchScheduler says, answers
/// peers' questions, and is a relay while it holds a slot. It is driven by tick(); it knows no socket.
template <Clock C, Store S, PeerLink L>
class RecordSpreader
{
public:
    /// What the owner is told: each new snapshot, each new time as of which it is known to be the newest, each question that the store did
    /// not answer, and when the daemon becomes a relay or stops being one.
    struct Listener {
        std::function<void(const RecordSnapshot &)> onSnapshot_;
        std::function<void(MonotonicTime)> onConfirmed_;
        std::function<void()> onStoreFailed_;
        std::function<void(bool)> onRelayChanged_;
    };

    /// How often tick() is to be called.
    static constexpr std::chrono::milliseconds TickInterval{ 50 };

    /// Precondition: clock, store and link outlive the spreader. Thread safety: the store's task only.
    RecordSpreader(const C &clock, S &store, L &link, const Member &self, std::vector<PeerAddress> seeds, std::uint64_t seed, Listener listener)
        : clock_(clock)
        , link_(link)
        , listener_(std::move(listener))
        , members_(self)
        , decision_(std::move(seeds), limits_, seed)
        , reader_(store, log_)
        , seat_(clock, store, members_, seed)
        , random_(seed)
    {
    }

    RecordSpreader(const RecordSpreader &) = delete;
    RecordSpreader &operator=(const RecordSpreader &) = delete;

    /// Does what is due. Thread safety: the store's task only.
    void tick()
    {
        beatIfDue();
        seat_.tick(askableRelayCount());
        tellRelayChange();
        failLateQuestions();
        askNext();
    }

    /// Answers a peer's question. Thread safety: the store's task only.
    RecordAnswer answer(const RecordQuery &question)
    {
        mergeMember(question.members_);
        RecordAnswer answer;
        answer.number_ = question.number_;
        answer.head_ = log_.revision();
        if (decision_.confirmedAt() != MonotonicTime::min()) {
            answer.age_ = std::chrono::ceil<std::chrono::milliseconds>(clock_.now() - decision_.confirmedAt());
        }
        if (auto changes = log_.changesAfter(question.after_, MaxAnswerBytes)) {
            answer.changes_ = std::move(*changes);
        } else if (question.number_ != 0) {
            addSnapshotPart(question, answer);
        }
        answer.members_ = membersFor(question);
        return answer;
    }

    /// Takes a peer's answer; one to a question that is no longer open is still used as far as it fits. Thread safety: the store's task only.
    void take(const PeerAddress &peer, const RecordAnswer &answer)
    {
        mergeMember(answer.members_);
        const auto before = log_.revision();
        for (const auto &change : answer.changes_) {
            log_.apply(change);
        }
        const bool isOpen = open_ && open_->number_ == answer.number_ && open_->peer_ == peer;
        if (isOpen && answer.snapshot_ != 0) {
            takePart(answer);
        }
        publishIfNewer(before);
        if (isOpen) {
            close(peer, answer, log_.revision() != before);
            askNext();
        }
    }

    /// Thread safety: the store's task only.
    const RecordSnapshot &snapshot() const
    {
        return log_.snapshot();
    }
    /// Since when the records are confirmed; the earliest time of all if they never were. Thread safety: the store's task only.
    MonotonicTime confirmedAt() const
    {
        return decision_.confirmedAt();
    }
    /// Thread safety: the store's task only.
    bool isRelay() const
    {
        return seat_.isRelay();
    }
    /// Thread safety: the store's task only.
    const Membership &members() const
    {
        return members_;
    }

private:
    struct OpenQuestion {
        std::uint64_t number_ = 0;
        PeerAddress peer_;
        MonotonicTime askedAt_;
    };

    static constexpr std::chrono::milliseconds BeatInterval{ 1000 };
    /// Heartbeats of others are exchanged with one member at a time, so that the bytes do not grow with the fleet.
    static constexpr int BeatsPerExchange = 4;
    static constexpr std::size_t MembersPerExchange = 16;
    static constexpr std::size_t MaxAnswerBytes = std::size_t(48) << 10U;

    void tellRelayChange()
    {
        if (wasRelay_ != seat_.isRelay()) {
            wasRelay_ = !wasRelay_;
            listener_.onRelayChanged_(wasRelay_);
        }
    }

    void askNext()
    {
        if (open_ || storeAskedAt_) {
            return;
        }
        const auto step = decision_.next(members_, seat_.isRelay(), clock_.now());
        if (const auto *peer = std::get_if<FetchFromPeer>(&step)) {
            askPeer(peer->address_);
        } else if (std::holds_alternative<FetchFromStore>(step)) {
            askStore();
        }
    }

    void askPeer(const PeerAddress &peer)
    {
        open_ = OpenQuestion{ ++lastNumber_, peer, clock_.now() };
        auto question = newQuestion(lastNumber_);
        question.snapshot_ = assembly_.revision();
        question.lastSnapshotKey_ = assembly_.lastKey();
        question.members_ = { members_.self() };
        link_.ask(peer, question);
    }

    void askStore()
    {
        const auto askedAt = clock_.now();
        const auto before = log_.revision();
        const bool mayWait = seat_.isRelay();
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
                decision_.storeAnswered(*hasMore, mayWait, clock_.now());
            } else {
                decision_.storeFailed(clock_.now());
                listener_.onStoreFailed_();
            }
            askNext();
        });
    }

    void failLateQuestions()
    {
        const auto now = clock_.now();
        if (open_ && now - open_->askedAt_ >= limits_.answerTimeout_) {
            const auto peer = open_->peer_;
            open_.reset();
            assembly_.clear();
            decision_.peerFailed(peer, now);
        }
        if (storeAskedAt_ && now - *storeAskedAt_ >= limits_.storeTimeout_) {
            storeAskedAt_.reset();
            decision_.storeFailed(now);
            listener_.onStoreFailed_();
        }
    }

    void close(const PeerAddress &peer, const RecordAnswer &answer, bool hasAdvanced)
    {
        const auto askedAt = open_->askedAt_;
        open_.reset();
        const bool isBehind = log_.revision() < answer.head_;
        if (!isBehind && answer.age_) {
            // The peer's head was the newest at this time, and the own records hold all of it.
            confirm(askedAt - *answer.age_);
        }
        const bool hasMore = isBehind && (hasAdvanced || assembly_.revision() != 0);
        decision_.peerAnswered(peer, hasMore, clock_.now());
    }

    void confirm(MonotonicTime asOf)
    {
        const auto before = decision_.confirmedAt();
        decision_.confirm(asOf);
        if (decision_.confirmedAt() != before) {
            listener_.onConfirmed_(decision_.confirmedAt());
        }
    }

    void publishIfNewer(Revision before)
    {
        if (log_.revision() != before) {
            listener_.onSnapshot_(log_.snapshot());
        }
    }

    void takePart(const RecordAnswer &answer)
    {
        if (const auto whole = assembly_.add(SnapshotPart{ answer.snapshot_, answer.records_, answer.isLastPart_ })) {
            log_.install(whole);
        }
    }

    void addSnapshotPart(const RecordQuery &question, RecordAnswer &answer)
    {
        auto part = source_.part(*log_.snapshot(), question.snapshot_, question.lastSnapshotKey_, MaxAnswerBytes, clock_.now());
        answer.snapshot_ = part.revision_;
        answer.records_ = std::move(part.texts_);
        answer.isLastPart_ = part.isLast_;
    }

    void beatIfDue()
    {
        if (clock_.now() < nextBeat_) {
            return;
        }
        nextBeat_ = clock_.now() + BeatInterval;
        members_.updateSelf(seat_.isRelay(), log_.revision());
        members_.removeExpired(clock_.now());
        if (++beats_ % BeatsPerExchange == 0) {
            exchangeMembers();
        }
    }

    /// Nothing waits for the answer; a lost one is made up for by the next exchange.
    void exchangeMembers()
    {
        const auto &others = members_.others();
        if (others.empty()) {
            return;
        }
        std::uniform_int_distribution<std::ptrdiff_t> pick(0, std::ssize(others) - 1);
        const auto peer = std::next(others.begin(), pick(random_))->second.member_.address_;
        if (open_ && open_->peer_ == peer) {
            return;
        }
        auto question = newQuestion(0);
        question.members_ = members_.nextToGossip(MembersPerExchange);
        link_.ask(peer, question);
    }

    RecordQuery newQuestion(std::uint64_t number) const
    {
        RecordQuery question;
        question.number_ = number;
        question.after_ = log_.revision();
        return question;
    }

    std::vector<Member> membersFor(const RecordQuery &question)
    {
        if (question.wantsAllMembers_) {
            return members_.nextToGossip(members_.others().size());
        }
        // Only an asker that passes members on, or knows nothing yet, is told of others.
        const bool isExchange = question.number_ == 0 || question.after_ == 0;
        return isExchange ? members_.nextToGossip(MembersPerExchange) : std::vector<Member>{ members_.self() };
    }

    void mergeMember(const std::vector<Member> &members)
    {
        for (const auto &member : members) {
            members_.mergeMember(member, clock_.now());
        }
    }

    std::size_t askableRelayCount() const
    {
        std::size_t count = 0;
        for (const auto &[instance, sighting] : members_.others()) {
            const auto &member = sighting.member_;
            const bool isOwnRelay = member.isRelay_ && member.failureDomain_ == members_.self().failureDomain_;
            count += isOwnRelay && decision_.isEligible(member.address_, clock_.now()) ? 1 : 0;
        }
        return count;
    }

    const C &clock_;
    L &link_;
    Listener listener_;
    FetchLimits limits_;
    RecordLog log_;
    Membership members_;
    FetchScheduler decision_;
    RecordReader<S> reader_;
    RelaySeat<C, S> seat_;
    SnapshotSource source_;
    SnapshotAssembler assembly_;
    std::mt19937_64 random_;
    std::optional<OpenQuestion> open_;
    std::optional<MonotonicTime> storeAskedAt_;
    std::uint64_t lastNumber_ = 0;
    bool wasRelay_ = false;
    MonotonicTime nextBeat_ = MonotonicTime::min();
    int beats_ = 0;
};

} // namespace cowsliphead
