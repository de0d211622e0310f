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

/// Brings a log of records up to date from the store: lists what is missing, or waits there for what comes.
template <Store S>
class RecordReader
{
public:
    /// Called with whether there is more to read at once. Errors: StoreUnavailable.
    using Done = std::function<void(Result<bool>)>;

    /// How long the store holds a question that finds nothing new.
    static constexpr std::chrono::milliseconds WatchDuration{ 400 };

    /// Precondition: the store and the log outlive the reader. Thread safety: the store's task only.
    RecordReader(S &store, RecordLog &log)
        : store_(store)
        , log_(log)
    {
    }

    /// Reads once. An answer without more to read says that the log was the newest at some time since the call. Precondition: the
    /// read before has ended. Thread safety: the store's task only.
    void read(bool mayWait, Done done)
    {
        if (mayWait && isPositioned_) {
            watch(std::move(done));
        } else {
            list(std::move(done));
        }
    }

private:
    static constexpr std::size_t PageSize = 500;

    void list(Done done)
    {
        // The own last entry is read again, because it tells where a watch has to go on.
        const auto before = log_.revision() == 0 ? 0 : log_.revision() - 1;
        store_.list(RecordLogPrefix, recordLogKey(before), PageSize, [this, done = std::move(done)](Result<std::vector<StoreEntry>> answer) {
            if (!answer) {
                done(tl::unexpected(answer.error()));
                return;
            }
            const bool isWhole = take(*answer);
            isPositioned_ = isWhole && answer->size() < PageSize;
            done(!isPositioned_);
        });
    }

    void watch(Done done)
    {
        store_.watch(RecordLogPrefix, storeRevision_, WatchDuration, [this, done = std::move(done)](Result<WatchAnswer> answer) {
            if (!answer) {
                done(tl::unexpected(answer.error()));
                return;
            }
            isPositioned_ = take(answer->entries_);
            storeRevision_ = std::max(storeRevision_, answer->revision_);
            done(!isPositioned_);
        });
    }

    /// False if an entry is missing.
    bool take(const std::vector<StoreEntry> &entries)
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
    /// True if everything up to the store's revision has been read.
    bool isPositioned_ = false;
};

} // namespace cowsliphead
