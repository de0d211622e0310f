#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <utility>
#include <vector>

#include "claim/claimcodec.h"
#include "claim/claimshards.h"
#include "core/errorcode.h"
#include "core/systemclock.h"
#include "decide/claimshard.h"
#include "logs/log.h"
#include "store/store.h"
#include "task/timer.h"

namespace cowsliphead
{

/// Performs the reads and writes of the store that the claim shards decide on, and reports their verdicts. Thread safety: the loop's task only.
template <Store S>
class ClaimBatcher
{
public:
    using OnVerdict = std::function<void(ClaimVerdict)>;

    /// Called whenever no claim is left to write or to answer.
    using OnIdle = std::function<void()>;

    /// Precondition: loop and store outlive the batcher.
    ClaimBatcher(EventLoop &loop, S &store, const ClaimLimits &limits, OnVerdict onVerdict)
        : store_(store)
        , onVerdict_(std::move(onVerdict))
    {
        shards_.reserve(ClaimShardCount);
        for (std::size_t i = 0; i < ClaimShardCount; ++i) {
            shards_.push_back(std::make_unique<Shard>(loop, limits, [this, i] { runNextAction(i); }));
        }
    }

    /// Requests a claim; its verdict is passed to the OnVerdict callback.
    void ask(ClaimRequest request)
    {
        const auto index = shardOf(request.key_);
        shards_[index]->decisions_.ask(std::move(request));
        runNextAction(index);
    }

    /// Records how a claimed request ended.
    void end(ClaimEnd end)
    {
        const auto index = shardOf(end.key_);
        shards_[index]->decisions_.end(std::move(end), clock_.now());
        runNextAction(index);
    }

    /// Sets the callback for the idle state.
    void onIdle(OnIdle onIdle)
    {
        onIdle_ = std::move(onIdle);
    }

    /// True if no claim is left to write or to answer.
    bool isIdle() const
    {
        return std::none_of(shards_.begin(), shards_.end(), [](const auto &shard) { return shard->decisions_.hasWork(); });
    }

private:
    struct Shard {
        Shard(EventLoop &loop, const ClaimLimits &limits, std::function<void()> onElapsed)
            : decisions_(limits)
            , timer_(loop, std::move(onElapsed))
        {
        }

        ClaimShard<> decisions_;
        Timer timer_;
    };

    void runNextAction(std::size_t index)
    {
        auto &shard = *shards_[index];
        const auto action = shard.decisions_.next(clock_.now(), clock_.wallNow());
        for (auto &verdict : shard.decisions_.takeVerdicts()) {
            onVerdict_(std::move(verdict));
        }
        scheduleTimer(shard);
        if (action == ClaimAction::Read) {
            read(index);
        } else if (action == ClaimAction::Write) {
            write(index);
        } else if (onIdle_ && isIdle()) {
            onIdle_();
        }
    }

    void scheduleTimer(Shard &shard)
    {
        const auto wakeAt = shard.decisions_.wakeAt();
        if (!wakeAt) {
            shard.timer_.cancel();
            return;
        }
        const auto delay = std::chrono::ceil<std::chrono::microseconds>(*wakeAt - clock_.now());
        shard.timer_.startOnce(std::max(delay, ShortestDelay));
    }

    void read(std::size_t index)
    {
        store_.read(shardKey(index), [this, index](Result<std::optional<StoreEntry>> answer) {
            handleReadAnswer(shards_[index]->decisions_, answer);
            runNextAction(index);
        });
    }

    void handleReadAnswer(ClaimShard<> &decisions, const Result<std::optional<StoreEntry>> &answer)
    {
        if (!answer) {
            logEvent(LogEvent::ClaimStoreNotAnswering);
            decisions.readFailed(clock_.now());
            return;
        }
        if (!answer->has_value()) {
            decisions.readAnswered(0, ClaimTable());
            return;
        }
        auto table = decodeClaims((*answer)->value_);
        if (!table) {
            logEvent(LogEvent::ClaimsMalformed, { { "key", (*answer)->key_ } });
            decisions.readFailed(clock_.now());
            return;
        }
        decisions.readAnswered((*answer)->revision_, std::move(*table));
    }

    void write(std::size_t index)
    {
        const auto &decisions = shards_[index]->decisions_;
        StoreWrite write;
        write.key_ = shardKey(index);
        write.value_ = encodeClaims(decisions.proposal());
        write.expectedRevision_ = decisions.expectedRevision();
        store_.compareAndSwap(write, [this, index](Result<StoreRevision> answer) {
            handleWriteAnswer(shards_[index]->decisions_, answer);
            runNextAction(index);
        });
    }

    void handleWriteAnswer(ClaimShard<> &decisions, const Result<StoreRevision> &answer)
    {
        if (answer) {
            decisions.written(*answer);
        } else if (answer.error() == ErrorCode::StoreConflict) {
            decisions.conflicted();
        } else {
            logEvent(LogEvent::ClaimWriteUnsettled);
            decisions.writeFailed(clock_.now());
        }
    }

    static constexpr std::chrono::microseconds ShortestDelay{ 100 };

    S &store_;
    OnVerdict onVerdict_;
    OnIdle onIdle_;
    SystemClock clock_;
    std::vector<std::unique_ptr<Shard>> shards_;
};

} // namespace cowsliphead
