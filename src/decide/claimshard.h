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
#include "decide/claimrequest.h"
#include "decide/claimsafeguards.h"
#include "decide/claimtable.h"
#include "decide/claimverdict.h"
#include "decide/pendingclaim.h"
#include "store/storerevision.h"

namespace cowsliphead
{

/// Decides the claims of one shard in batches, with one write of the shard's value for each batch. It performs no I/O and reads no
/// clock.
///
/// A claim is granted only once the store's value is known to contain it: after a compare-and-swap that was answered, or after a read
/// that follows one whose answer was lost. Correctness does not depend on a single batcher; several batchers only cause each other
/// write conflicts.
///
/// Thread safety: owner task only.
template <ClaimSafeguards Guard = ClaimSafeguards{}>
class ClaimShard
{
public:
    explicit ClaimShard(const ClaimLimits &limits)
        : limits_(limits)
    {
    }

    /// Requests a claim; exactly one verdict follows. Precondition: each owner asks only once.
    void ask(ClaimRequest request)
    {
        waiting_.push_back({ std::move(request), false });
    }

    /// Queues the end of a request, which is written with the next claim or after a delay.
    void end(ClaimEnd end, MonotonicTime now)
    {
        endsDue_ = waitingEnds_.empty() ? now + limits_.endWriteDelay_ : endsDue_;
        waitingEnds_.push_back(std::move(end));
    }

    /// Returns the next store operation. Its result is reported after Read by readAnswered() or readFailed(), and after Write by
    /// written(), conflicted() or writeFailed().
    ClaimAction next(MonotonicTime now, WallTime wallNow)
    {
        expirePending(now, wallNow);
        if (isCallPending_ || now < dueAt()) {
            return ClaimAction::Nothing;
        }
        beginBatch(now);
        const auto action = cached_ ? propose(wallNow) : ClaimAction::Read;
        isCallPending_ = action != ClaimAction::Nothing;
        if (!isCallPending_) {
            endBatch();
        }
        return action;
    }

    /// When to call next() again if no other event occurs; nothing if there is no work.
    std::optional<MonotonicTime> wakeAt() const
    {
        std::optional<MonotonicTime> earliest;
        if (!isCallPending_ && hasWork()) {
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

    /// The value to write. Precondition: next() returned Write.
    const ClaimTable &proposal() const
    {
        return proposal_;
    }

    /// The revision that the write is conditional on. Precondition: next() returned Write.
    StoreRevision expectedRevision() const
    {
        return cached_->revision_;
    }

    /// Precondition: a read is in progress.
    void readAnswered(StoreRevision revision, ClaimTable table)
    {
        isCallPending_ = false;
        isFresh_ = true;
        isShared_ = revision != lastRevision_;
        lastRevision_ = revision;
        cached_ = CachedTable{ revision, std::move(table) };
    }

    /// Precondition: a read is in progress.
    void readFailed(MonotonicTime now)
    {
        isCallPending_ = false;
        notBefore_ = now + limits_.retryInterval_;
    }

    /// Precondition: a write is in progress.
    void written(StoreRevision revision)
    {
        isCallPending_ = false;
        lastRevision_ = revision;
        cached_ = CachedTable{ revision, std::move(proposal_) };
        grantBatch();
        batchEnds_.clear();
        endBatch();
    }

    /// Another write changed the value first. Precondition: a write is in progress.
    void conflicted()
    {
        isCallPending_ = false;
        cached_.reset();
        if constexpr (!Guard.retriesOnConflict_) {
            grantBatch();
        }
    }

    /// It is unknown whether the write took effect. Precondition: a write is in progress.
    void writeFailed(MonotonicTime now)
    {
        isCallPending_ = false;
        cached_.reset();
        notBefore_ = now + limits_.retryInterval_;
        if constexpr (!Guard.readsBackLostWrites_) {
            grantBatch();
        }
    }

    /// Returns and clears the verdicts since the last call.
    std::vector<ClaimVerdict> takeVerdicts()
    {
        return std::exchange(verdicts_, {});
    }

    /// True if a verdict is pending or something is to be written.
    bool hasWork() const
    {
        return !waiting_.empty() || !waitingEnds_.empty() || !batch_.empty() || !batchEnds_.empty();
    }

private:
    struct CachedTable {
        StoreRevision revision_ = 0;
        ClaimTable table_;
    };

    /// When the next batch may begin, or the current one may continue.
    MonotonicTime dueAt() const
    {
        if (isInBatch_ || !waiting_.empty()) {
            return notBefore_;
        }
        return waitingEnds_.empty() ? MonotonicTime::max() : std::max(notBefore_, endsDue_);
    }

    /// Requests that arrive during a batch wait for the next one, so that a steady stream of them cannot keep a batch from
    /// completing.
    void beginBatch(MonotonicTime now)
    {
        if (isInBatch_) {
            return;
        }
        isInBatch_ = true;
        isFresh_ = false;
        batchStart_ = now;
        if (isShared_) {
            // Another batcher writes this value too: a read costs less than a write that conflicts.
            cached_.reset();
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
        cached_->table_.removeExpired(wallNow, limits_);
        proposal_ = cached_->table_;
        bool needsFreshTable = false;
        for (const auto &end : batchEnds_) {
            needsFreshTable = !proposal_.end(end, limits_) || needsFreshTable;
        }
        std::vector<ClaimVerdictKind> kinds;
        for (const auto &claim : batch_) {
            kinds.push_back(proposal_.claim(claim.request_, wallNow, limits_, Guard.checksReleaseTime_));
            needsFreshTable = kinds.back() != ClaimVerdictKind::Granted || needsFreshTable;
        }
        // The cached table may lack a release or an answer that another batcher has written.
        if (needsFreshTable && !isFresh_) {
            return ClaimAction::Read;
        }
        rejectRefused(kinds);
        if (proposal_ != cached_->table_) {
            std::for_each(batch_.begin(), batch_.end(), [](PendingClaim &claim) { claim.mayBeWritten_ = true; });
            return ClaimAction::Write;
        }
        grantBatch();
        batchEnds_.clear();
        return ClaimAction::Nothing;
    }

    void rejectRefused(const std::vector<ClaimVerdictKind> &kinds)
    {
        std::vector<PendingClaim> granted;
        for (std::size_t i = 0; i < kinds.size(); ++i) {
            if (kinds[i] == ClaimVerdictKind::Granted) {
                granted.push_back(std::move(batch_[i]));
            } else {
                addVerdict(batch_[i].request_, kinds[i]);
            }
        }
        batch_ = std::move(granted);
    }

    void addVerdict(const ClaimRequest &request, ClaimVerdictKind kind)
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
            addVerdict(claim.request_, ClaimVerdictKind::Granted);
        }
        batch_.clear();
    }

    void expirePending(MonotonicTime now, WallTime wallNow)
    {
        const auto hasTimedOut = [this, now](const PendingClaim &claim) { return claim.request_.askedAt_ + limits_.claimTimeout_ <= now; };
        for (auto *claims : { &waiting_, &batch_ }) {
            for (const auto &claim : *claims) {
                if (hasTimedOut(claim)) {
                    abandon(claim, now, wallNow);
                }
            }
            std::erase_if(*claims, hasTimedOut);
        }
        const auto hasExpired = [now](const ClaimEnd &end) { return end.writeDeadline_ <= now; };
        std::erase_if(waitingEnds_, hasExpired);
        std::erase_if(batchEnds_, hasExpired);
    }

    /// The caller is told that the store does not answer, and its request is never sent. A claim that may have been written is
    /// therefore released.
    void abandon(const PendingClaim &claim, MonotonicTime now, WallTime wallNow)
    {
        addVerdict(claim.request_, ClaimVerdictKind::Unavailable);
        if (claim.mayBeWritten_) {
            end({ claim.request_.key_, claim.request_.owner_, false, wallNow, now + limits_.endWriteTimeout_, std::nullopt }, now);
        }
    }

    ClaimLimits limits_;
    std::optional<CachedTable> cached_;

    /// True if the table was read after all requests of the current batch had arrived.
    bool isFresh_ = false;

    /// True if another batcher wrote the value between the last two times that this one saw it.
    bool isShared_ = false;
    StoreRevision lastRevision_ = 0;
    bool isCallPending_ = false;
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
