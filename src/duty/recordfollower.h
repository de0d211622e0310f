#pragma once

#include <chrono>
#include <functional>
#include <utility>
#include <vector>

#include "records/change.h"
#include "records/changecodec.h"
#include "records/logkey.h"
#include "records/recordlog.h"
#include "store/store.h"
#include "task/timer.h"

namespace cowsliphead
{

/// Follows the log of records in the store: lists what is missing, then watches for what comes.
template <Store S>
class RecordFollower
{
public:
    using OnSnapshot = std::function<void(const RecordSnapshot &)>;

    /// Precondition: loop and store outlive the follower. Thread safety: the loop's task only.
    RecordFollower(EventLoop &loop, S &store, OnSnapshot onSnapshot)
        : store_(store)
        , onSnapshot_(std::move(onSnapshot))
        , retry_(loop, [this] { list(); })
    {
    }

    /// Precondition: called once. Thread safety: the loop's task only.
    void start()
    {
        list();
    }

    /// Thread safety: the loop's task only.
    const RecordSnapshot &snapshot() const
    {
        return log_.snapshot();
    }

private:
    static constexpr std::size_t PageSize = 500;
    static constexpr std::chrono::milliseconds RetryInterval{ 500 };
    static constexpr std::chrono::seconds WatchDuration{ 20 };

    void list()
    {
        store_.list(LogPrefix, logKey(log_.revision()), PageSize, [this](Result<std::vector<StoreEntry>> answer) {
            if (!answer) {
                retry_.startOnce(RetryInterval);
                return;
            }
            take(*answer);
            if (answer->size() == PageSize) {
                list();
            } else {
                watch();
            }
        });
    }

    void watch()
    {
        store_.watch(LogPrefix, storeRevision_, WatchDuration, [this](Result<WatchAnswer> answer) {
            if (!answer) {
                retry_.startOnce(RetryInterval);
                return;
            }
            take(answer->entries_);
            storeRevision_ = std::max(storeRevision_, answer->revision_);
            watch();
        });
    }

    void take(const std::vector<StoreEntry> &entries)
    {
        const auto before = log_.revision();
        for (const auto &entry : entries) {
            storeRevision_ = std::max(storeRevision_, entry.revision_);
            if (const auto change = decodeChange(revisionOfLogKey(entry.key_), entry.value_)) {
                log_.apply(*change);
            }
        }
        if (log_.revision() != before) {
            onSnapshot_(log_.snapshot());
        }
    }

    S &store_;
    OnSnapshot onSnapshot_;
    RecordLog log_;
    StoreRevision storeRevision_ = 0;
    Timer retry_;
};

} // namespace cowsliphead
