#pragma once

#include <chrono>
#include <optional>
#include <system_error>

#include "core/time.h"
#include "store/storerevision.h"

namespace cowsliphead
{

/// Whether the store answers one of its readers, and since when. Logs each change.
class StorePresence
{
public:
    /// reader: for the log. Thread safety: owner task only.
    explicit StorePresence(const char *reader);

    /// A call was answered; revision: how far the reader has read. Thread safety: owner task only.
    void answered(StoreRevision revision, MonotonicTime now);

    /// A call was not answered. Thread safety: owner task only.
    void failed(std::error_code error, StoreRevision revision, MonotonicTime now);

    /// Until when an entry that is missing now may come back; nothing if it did not lapse while the store was away.
    /// Thread safety: owner task only.
    std::optional<MonotonicTime> lapsedUntil(MonotonicTime now) const;

private:
    const char *reader_;
    MonotonicTime awaySince_;

    /// The end of the last absence that was long enough for entries to lapse.
    std::optional<MonotonicTime> regainedAt_;
    bool isAway_ = false;
};

} // namespace cowsliphead
