#pragma once

#include <algorithm>
#include <chrono>
#include <map>
#include <string>
#include <utility>

#include "core/errorcode.h"
#include "duty/windowcounts.h"
#include "duty/windowcountscodec.h"
#include "logs/log.h"
#include "store/store.h"
#include "usage/usagecountkeys.h"

namespace cowsliphead
{

/// Counts this gateway's requests per window and writes the counts to the store for WindowCountsReporter.
/// Thread safety: all members, on the store's task only.
template <Store S>
class WindowCountsWriter
{
public:
    /// incarnation identifies this run of the process and is never reused. Precondition: the store outlives the writer.
    WindowCountsWriter(S &store, InstanceId incarnation)
        : store_(store)
        , incarnation_(std::move(incarnation))
    {
    }

    void count(const AccountId &account, UsageWindow window)
    {
        auto &pending = pending_[window];
        ++pending.counts_.requests_[account];
        pending.isDirty_ = true;
    }

    /// Writes the counts that have changed since the last call, oldest window first. A window that has ended is written even without
    /// requests, so that the reporter knows that nothing is missing.
    void flush(UsageWindow current)
    {
        pending_.try_emplace(current);
        std::erase_if(pending_, [current](const auto &item) { return item.first + RetainedWindows < current && logDropped(item.first, item.second); });
        for (auto &[window, pending] : pending_) {
            if (window < current && !pending.counts_.isFinal_) {
                pending.counts_.isFinal_ = true;
                pending.isDirty_ = true;
            }
            if (!pending.isWriting_ && pending.isDirty_) {
                write(window, pending);
            }
        }
    }

    /// True if the store lacks counts of a window that has ended.
    bool isBehind(UsageWindow current) const
    {
        return std::any_of(pending_.begin(), pending_.end(), [current](const auto &item) { return item.first < current && item.second.isDirty_; });
    }

    /// True if the store has all counts.
    bool isFlushed() const
    {
        for (const auto &[window, pending] : pending_) {
            if (pending.isDirty_ || pending.isWriting_) {
                return false;
            }
        }
        return true;
    }

private:
    /// Number of windows after which counts that the store has not accepted are dropped, because the reporter no longer uses them.
    static constexpr UsageWindow RetainedWindows = 3;

    struct Pending {
        WindowCounts counts_;
        StoreRevision revision_ = 0;
        bool isDirty_ = false;
        bool isWriting_ = false;
    };

    /// Logs that counts were lost if the store lacks them. Always returns true.
    static bool logDropped(UsageWindow window, const Pending &pending)
    {
        if (pending.isDirty_) {
            logEvent(LogEvent::UsageCountsLost, { { "window", std::uint64_t(window) } });
        }
        return true;
    }

    void write(UsageWindow window, Pending &pending)
    {
        StoreWrite write;
        write.key_ = usagecountkeys::countsKey(window, incarnation_);
        write.value_ = windowcountscodec::toText(pending.counts_);
        write.expectedRevision_ = pending.revision_;
        pending.isWriting_ = true;
        pending.isDirty_ = false;
        store_.compareAndSwap(write, [this, window](const Result<StoreRevision> &answer) { written(window, answer); });
    }

    void written(UsageWindow window, const Result<StoreRevision> &answer)
    {
        const auto found = pending_.find(window);
        if (found == pending_.end()) {
            return;
        }
        auto &pending = found->second;
        pending.isWriting_ = false;
        if (answer) {
            pending.revision_ = *answer;
            return;
        }
        pending.isDirty_ = true;
        if (answer.error() == ErrorCode::StoreConflict) {
            readBack(window);
        }
    }

    /// Reads the key's revision after a conflict: only this process writes the key, so an earlier write whose answer was lost took effect.
    void readBack(UsageWindow window)
    {
        pending_[window].isWriting_ = true;
        store_.read(usagecountkeys::countsKey(window, incarnation_), [this, window](const Result<std::optional<StoreEntry>> &answer) {
            const auto found = pending_.find(window);
            if (found == pending_.end()) {
                return;
            }
            found->second.isWriting_ = false;
            if (answer) {
                found->second.revision_ = *answer ? (*answer)->revision_ : 0;
            }
        });
    }

    S &store_;
    InstanceId incarnation_;
    std::map<UsageWindow, Pending> pending_;
};

} // namespace cowsliphead
