#pragma once

#include <chrono>
#include <optional>
#include <system_error>

#include "core/time.h"
#include "store/storerevision.h"

namespace cowsliphead
{

/// Tracks whether the store answers one of its readers, and since when, and whether it came back from a copy. Logs each change. Thread safety: owner task only.
class StoreAvailability
{
public:
    /// reader: the name of the reader in the log.
    explicit StoreAvailability(const char *reader);

    /// Sets up to which revision the store is known from an earlier reader. Precondition: no call was answered yet.
    void resumeFrom(const StoreRevision &revision);

    /// A call was answered; revision: the store revision up to which the reader has read.
    void answered(const StoreRevision &revision, MonotonicTime now);

    /// A call was not answered.
    void failed(std::error_code error, const StoreRevision &revision, MonotonicTime now);

    /// Returns the time until which an entry that is missing now may be written again, or nothing if it did not expire during an
    /// outage of the store. Nothing after a store came back from a copy: what only the era before knew does not count any more.
    std::optional<MonotonicTime> reregistrationDeadline(MonotonicTime now) const;

private:
    const char *reader_;
    MonotonicTime unavailableSince_;

    /// The end of the last outage that was long enough for entries to expire.
    std::optional<MonotonicTime> recoveredAt_;
    bool isUnavailable_ = false;
    StoreEra era_ = 0;
};

} // namespace cowsliphead
