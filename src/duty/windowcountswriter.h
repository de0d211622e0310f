#pragma once

#include <algorithm>
#include <functional>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "core/errorcode.h"
#include "duty/membercountscodec.h"
#include "logs/log.h"
#include "store/store.h"
#include "usage/countsstored.h"
#include "usage/membercounts.h"
#include "usage/usagecountkeys.h"

namespace cowsliphead
{

/// Writes the counts of several gateways to the store for WindowCountsReporter, one key for each window. Each gateway's counts stay apart
/// in the value, so they count once however many processes write them. After the store came back from a copy, all counts are written again.
/// Thread safety: all members, on the store's task only.
template <Store S>
class WindowCountsWriter
{
public:
    using OnStored = std::function<void(const CountsStored &)>;

    /// incarnation identifies this run of the process and is never reused; onStored is called for the counts of each gateway that the store
    /// has accepted. Precondition: the store outlives the writer.
    WindowCountsWriter(S &store, InstanceId incarnation, OnStored onStored)
        : store_(store)
        , incarnation_(std::move(incarnation))
        , onStored_(std::move(onStored))
    {
    }

    /// Takes counts to write; older ones than those already known change nothing.
    void add(const MemberCounts &counts)
    {
        auto &pending = pending_[counts.counts_.window_];
        const auto known = pending.counts_.find(counts.gateway_);
        if (known != pending.counts_.end() && known->second.version_ >= counts.version_) {
            if (known->second.version_ <= pending.storedVersions_[counts.gateway_]) {
                // The gateway has not learned that its counts are stored.
                onStored_({ counts.gateway_, counts.counts_.window_, known->second.version_ });
            }
            return;
        }
        pending.counts_[counts.gateway_] = counts;
        pending.isDirty_ = true;
    }

    /// Writes the counts that have changed since the last call, oldest window first.
    void flush(UsageWindow current)
    {
        writeAgainInNewEra();
        std::erase_if(pending_, [current](const auto &item) { return item.first + RetainedWindows < current && logDropped(item.first, item.second); });
        for (auto &[window, pending] : pending_) {
            if (!pending.isWriting_ && pending.isDirty_) {
                write(window, pending);
            }
        }
    }

    /// True if the store lacks counts of a window that has ended.
    bool isBehind(UsageWindow current) const
    {
        return std::any_of(pending_.begin(), pending_.end(), [this, current](const auto &item) {
            return item.first < current && (item.second.isDirty_ || era_ != store_.era());
        });
    }

    /// True if the store has all counts.
    bool isFlushed() const
    {
        return std::none_of(pending_.begin(), pending_.end(), [](const auto &item) { return item.second.isDirty_ || item.second.isWriting_; });
    }

private:
    /// Number of windows after which counts that the store has not accepted are dropped, because the reporter no longer uses them.
    static constexpr UsageWindow RetainedWindows = 3;

    /// What the store confirmed in an earlier era may be lost.
    void writeAgainInNewEra()
    {
        if (std::exchange(era_, store_.era()) == store_.era()) {
            return;
        }
        for (auto &[window, pending] : pending_) {
            pending.isDirty_ = true;
        }
    }

    struct Pending {
        membercountscodec::CountsByGateway counts_;
        std::map<InstanceId, std::uint64_t> storedVersions_;
        StoreRevision revision_;
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
        write.value_ = membercountscodec::toText(pending.counts_);
        write.expectedRevision_ = pending.revision_;
        pending.isWriting_ = true;
        pending.isDirty_ = false;
        std::vector<CountsStored> stored;
        for (const auto &[gateway, counts] : pending.counts_) {
            stored.push_back({ gateway, window, counts.version_ });
        }
        store_.compareAndSwap(write, [this, window, stored](const Result<StoreRevision> &answer) { written(window, stored, answer); });
    }

    void written(UsageWindow window, const std::vector<CountsStored> &stored, const Result<StoreRevision> &answer)
    {
        const auto found = pending_.find(window);
        if (found == pending_.end()) {
            return;
        }
        auto &pending = found->second;
        pending.isWriting_ = false;
        if (answer) {
            pending.revision_ = *answer;
            for (const auto &counts : stored) {
                if (std::exchange(pending.storedVersions_[counts.gateway_], counts.version_) != counts.version_) {
                    onStored_(counts);
                }
            }
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
                found->second.revision_ = *answer ? (*answer)->revision_ : StoreRevision();
            }
        });
    }

    S &store_;
    InstanceId incarnation_;
    OnStored onStored_;
    std::map<UsageWindow, Pending> pending_;
    StoreEra era_ = 0;
};

} // namespace cowsliphead
