#pragma once

#include <algorithm>
#include <chrono>
#include <functional>
#include <utility>
#include <vector>

#include "core/result.h"
#include "records/change.h"
#include "records/changecodec.h"
#include "records/recordlog.h"
#include "records/recordlogkey.h"
#include "store/store.h"

namespace cowsliphead
{

/// Brings a log of records up to date from the store: lists the missing entries, or watches for new ones.
/// Thread safety: all members, on the store's task only.
template <Store S>
class RecordReader
{
public:
    /// Called with true if more entries can be read at once. Errors: StoreUnavailable.
    using Done = std::function<void(Result<bool>)>;

    /// How long the store keeps a watch open that finds no new entry.
    static constexpr std::chrono::milliseconds WatchDuration{ 400 };

    /// Precondition: the store and the log outlive the reader.
    RecordReader(S &store, RecordLog &log)
        : store_(store)
        , log_(log)
    {
    }

    /// Reads once; if mayWait, the store may keep the call open until there is a new entry. If done is called with false, the log was
    /// complete at some time since the call. Precondition: the previous read has ended.
    void read(bool mayWait, Done done)
    {
        if (mayWait && isCaughtUp_) {
            watch(std::move(done));
        } else {
            list(std::move(done));
        }
    }

private:
    static constexpr std::size_t PageSize = 500;

    void list(Done done)
    {
        // The log's last entry is read again, because its store revision is where a watch continues.
        const auto before = log_.revision() == 0 ? 0 : log_.revision() - 1;
        store_.list(RecordLogPrefix, recordLogKey(before), PageSize, [this, done = std::move(done)](Result<std::vector<StoreEntry>> answer) {
            if (!answer) {
                done(tl::unexpected(answer.error()));
                return;
            }
            const bool isComplete = applyEntries(*answer);
            isCaughtUp_ = isComplete && answer->size() < PageSize;
            done(!isCaughtUp_);
        });
    }

    void watch(Done done)
    {
        store_.watch(RecordLogPrefix, storeRevision_, WatchDuration, [this, done = std::move(done)](Result<WatchAnswer> answer) {
            if (!answer) {
                done(tl::unexpected(answer.error()));
                return;
            }
            isCaughtUp_ = applyEntries(answer->entries_);
            storeRevision_ = std::max(storeRevision_, answer->revision_);
            done(!isCaughtUp_);
        });
    }

    /// Returns false if an entry is missing or malformed.
    bool applyEntries(const std::vector<StoreEntry> &entries)
    {
        for (const auto &entry : entries) {
            storeRevision_ = std::max(storeRevision_, entry.revision_);
            const auto revision = revisionFromLogKey(entry.key_);
            if (entry.isErased_ || revision <= log_.revision()) {
                continue;
            }
            const auto change = decodeChange(revision, entry.value_);
            if (!change || !log_.apply(*change)) {
                return false;
            }
        }
        return true;
    }

    S &store_;
    RecordLog &log_;
    StoreRevision storeRevision_ = 0;
    /// True if everything up to storeRevision_ has been read.
    bool isCaughtUp_ = false;
};

} // namespace cowsliphead
