#pragma once

#include <algorithm>
#include <iterator>
#include <optional>
#include <utility>
#include <vector>

#include "core/time.h"
#include "decide/claimaction.h"
#include "decide/claimend.h"
#include "decide/claimlimits.h"
#include "decide/claimpending.h"
#include "decide/claimrequest.h"
#include "decide/claimsafeguards.h"
#include "decide/claimtable.h"
#include "decide/claimverdict.h"
#include "store/storerevision.h"

namespace cowsliphead
{

/// Decides the claims of one shard, many in one write of the shard's value. It knows no store and no clock.
///
/// A claim is granted only once the store's value is known to hold it: by an answered compare-and-swap, or by a read after
/// one whose answer was lost. Nothing depends on there being one batcher only; several merely cost each other conflicts.
template <ClaimSafeguards Guard = ClaimSafeguards{}>
class ClaimShard
{
public:
    /// Thread safety: owner task only.
    explicit ClaimShard(const ClaimLimits &limits)
        : limits_(limits)
    {
    }

    /// Asks for a claim; there is one verdict for each. Precondition: the owner asks once. Thread safety: owner task only.
    void ask(ClaimRequest request)
    {
        waiting_.push_back({ std::move(request), false });
    }

    /// Writes down how a request ended, with the next claim or after a delay. Thread safety: owner task only.
    void end(ClaimEnd end, MonotonicTime now)
    {
        endsDue_ = waitingEnds_.empty() ? now + limits_.endWriteDelay_ : endsDue_;
        waitingEnds_.push_back(std::move(end));
    }

    /// What to do now. After Read one of readAnswered() and readFailed() follows; after Write one of written(), conflicted()
    /// and writeFailed(). Thread safety: owner task only.
    ClaimAction next(MonotonicTime now, WallTime wallNow)
    {
        giveUp(now, wallNow);
        if (isCalling_ || now < dueAt()) {
            return ClaimAction::Nothing;
        }
        beginBatch(now);
        const auto action = known_ ? propose(wallNow) : ClaimAction::Read;
        isCalling_ = action != ClaimAction::Nothing;
        if (!isCalling_) {
            endBatch();
        }
        return action;
    }

    /// When next() may have something to do without another event; nothing if it has no work. Thread safety: owner task only.
    std::optional<MonotonicTime> wakeAt() const
    {
        std::optional<MonotonicTime> earliest;
        if (!isCalling_ && hasWork()) {
            earliest = dueAt();
        }
        for (const auto *claims : { &waiting_, &batch_ }) {
            for (const auto &claim : *claims) {
                const auto end = claim.request_.askedAt_ + limits_.claimTimeout_;
                earliest = earliest ? std::min(*earliest, end) : end;
            }
        }
        return earliest;
    }

    /// The value to write. Precondition: next() returned Write. Thread safety: owner task only.
    const ClaimTable &proposal() const
    {
        return proposal_;
    }

    /// The revision that the write depends on. Precondition: next() returned Write. Thread safety: owner task only.
    StoreRevision expectedRevision() const
    {
        return known_->revision_;
    }

    /// Precondition: a read is open. Thread safety: owner task only.
    void readAnswered(StoreRevision revision, ClaimTable table)
    {
        isCalling_ = false;
        isFresh_ = true;
        isShared_ = revision != lastRevision_;
        lastRevision_ = revision;
        known_ = Known{ revision, std::move(table) };
    }

    /// Precondition: a read is open. Thread safety: owner task only.
    void readFailed(MonotonicTime now)
    {
        isCalling_ = false;
        notBefore_ = now + limits_.retryInterval_;
    }

    /// Precondition: a write is open. Thread safety: owner task only.
    void written(StoreRevision revision)
    {
        isCalling_ = false;
        lastRevision_ = revision;
        known_ = Known{ revision, std::move(proposal_) };
        grantBatch();
        batchEnds_.clear();
        endBatch();
    }

    /// Another write came first. Precondition: a write is open. Thread safety: owner task only.
    void conflicted()
    {
        isCalling_ = false;
        known_.reset();
        if constexpr (!Guard.retriesOnConflict_) {
            grantBatch();
        }
    }

    /// Nothing is known of the write. Precondition: a write is open. Thread safety: owner task only.
    void writeFailed(MonotonicTime now)
    {
        isCalling_ = false;
        known_.reset();
        notBefore_ = now + limits_.retryInterval_;
        if constexpr (!Guard.readsBackLostWrites_) {
            grantBatch();
        }
    }

    /// The verdicts since the last call. Thread safety: owner task only.
    std::vector<ClaimVerdict> takeVerdicts()
    {
        return std::exchange(verdicts_, {});
    }

    /// True if something is waited for or is to be written. Thread safety: owner task only.
    bool hasWork() const
    {
        return !waiting_.empty() || !waitingEnds_.empty() || !batch_.empty() || !batchEnds_.empty();
    }

private:
    struct Known {
        StoreRevision revision_ = 0;
        ClaimTable table_;
    };

    /// When the next batch may begin, or the one in hand may go on.
    MonotonicTime dueAt() const
    {
        if (isInBatch_ || !waiting_.empty()) {
            return notBefore_;
        }
        return waitingEnds_.empty() ? MonotonicTime::max() : std::max(notBefore_, endsDue_);
    }

    /// What comes in the meantime waits for the next batch, so that no steady stream keeps a batch from its end.
    void beginBatch(MonotonicTime now)
    {
        if (isInBatch_) {
            return;
        }
        isInBatch_ = true;
        isFresh_ = false;
        batchStart_ = now;
        if (isShared_) {
            // Another batcher writes too: a read costs less than a write that finds a conflict.
            known_.reset();
        }
        std::move(waiting_.begin(), waiting_.end(), std::back_inserter(batch_));
        std::move(waitingEnds_.begin(), waitingEnds_.end(), std::back_inserter(batchEnds_));
        waiting_.clear();
        waitingEnds_.clear();
    }

    void endBatch()
    {
        isInBatch_ = false;
        notBefore_ = batchStart_ + limits_.batchInterval_;
    }

    ClaimAction propose(WallTime wallNow)
    {
        known_->table_.forget(wallNow, limits_);
        proposal_ = known_->table_;
        bool needsFreshTable = false;
        for (const auto &end : batchEnds_) {
            needsFreshTable = !proposal_.end(end, limits_) || needsFreshTable;
        }
        std::vector<ClaimVerdictKind> kinds;
        for (const auto &claim : batch_) {
            kinds.push_back(proposal_.claim(claim.request_, wallNow, limits_, Guard.checksReleaseTime_));
            needsFreshTable = kinds.back() != ClaimVerdictKind::Granted || needsFreshTable;
        }
        // A remembered table may lack a release or an answer that another batcher has written.
        if (needsFreshTable && !isFresh_) {
            return ClaimAction::Read;
        }
        refuse(kinds);
        if (proposal_ != known_->table_) {
            std::for_each(batch_.begin(), batch_.end(), [](PendingClaim &claim) { claim.mayBeWritten_ = true; });
            return ClaimAction::Write;
        }
        grantBatch();
        batchEnds_.clear();
        return ClaimAction::Nothing;
    }

    void refuse(const std::vector<ClaimVerdictKind> &kinds)
    {
        std::vector<PendingClaim> granted;
        for (std::size_t i = 0; i < kinds.size(); ++i) {
            if (kinds[i] == ClaimVerdictKind::Granted) {
                granted.push_back(std::move(batch_[i]));
            } else {
                answer(batch_[i].request_, kinds[i]);
            }
        }
        batch_ = std::move(granted);
    }

    void answer(const ClaimRequest &request, ClaimVerdictKind kind)
    {
        const auto validUntil = Guard.limitsDispatchTime_ ? request.askedAt_ + limits_.dispatchWindow_ : MonotonicTime::max();
        ClaimVerdict verdict{ request.key_, request.owner_, kind, validUntil, std::nullopt };
        if (kind == ClaimVerdictKind::Replayed) {
            verdict.answer_ = proposal_.find(request.key_)->answer_;
        }
        verdicts_.push_back(std::move(verdict));
    }

    void grantBatch()
    {
        for (const auto &claim : batch_) {
            answer(claim.request_, ClaimVerdictKind::Granted);
        }
        batch_.clear();
    }

    void giveUp(MonotonicTime now, WallTime wallNow)
    {
        const auto isOver = [this, now](const PendingClaim &claim) { return claim.request_.askedAt_ + limits_.claimTimeout_ <= now; };
        for (auto *claims : { &waiting_, &batch_ }) {
            for (const auto &claim : *claims) {
                if (isOver(claim)) {
                    abandon(claim, now, wallNow);
                }
            }
            std::erase_if(*claims, isOver);
        }
        const auto isLate = [now](const ClaimEnd &end) { return end.giveUpAt_ <= now; };
        std::erase_if(waitingEnds_, isLate);
        std::erase_if(batchEnds_, isLate);
    }

    /// The caller is told that the store does not answer, and its request is never sent; so a claim that was written is released.
    void abandon(const PendingClaim &claim, MonotonicTime now, WallTime wallNow)
    {
        answer(claim.request_, ClaimVerdictKind::Unavailable);
        if (claim.mayBeWritten_) {
            end({ claim.request_.key_, claim.request_.owner_, false, wallNow, now + limits_.endWriteTimeout_, std::nullopt }, now);
        }
    }

    ClaimLimits limits_;
    std::optional<Known> known_;

    /// True if the table was read after everything in the batch had come in.
    bool isFresh_ = false;

    /// True if another batcher wrote between the last two looks at the value.
    bool isShared_ = false;
    StoreRevision lastRevision_ = 0;
    bool isCalling_ = false;
    bool isInBatch_ = false;
    MonotonicTime batchStart_;
    MonotonicTime notBefore_;
    MonotonicTime endsDue_;
    ClaimTable proposal_;
    std::vector<PendingClaim> waiting_;
    std::vector<PendingClaim> batch_;
    std::vector<ClaimEnd> waitingEnds_;
    std::vector<ClaimEnd> batchEnds_;
    std::vector<ClaimVerdict> verdicts_;
};

} // namespace cowsliphead
