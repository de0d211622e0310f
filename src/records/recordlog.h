#pragma once

#include <cstddef>
#include <deque>
#include <optional>
#include <vector>

#include "core/revision.h"
#include "records/change.h"
#include "records/recordsnapshot.h"

namespace cowsliphead
{

/// The current records of one process and the most recent changes. Changes are applied in the order of their revisions; a snapshot is
/// installed only if it is newer, so that the revision never decreases. Thread safety: owner task only.
class RecordLog
{
public:
    RecordLog();

    /// Applies the change if its revision is the next one. Returns false if it was not applied.
    bool apply(const Change &change);
    /// Replaces the records by the snapshot if that is newer, and drops the recent changes. Returns false if it was not installed.
    /// Precondition: not null.
    bool install(const RecordSnapshot &snapshot);

    /// The changes that follow the revision, up to maxBytes of names and texts but at least one; empty if the revision is the newest.
    /// Nothing if some of them are no longer kept, so that the caller needs a snapshot.
    std::optional<std::vector<Change>> changesAfter(Revision revision, std::size_t maxBytes) const;
    /// Never null. The snapshot itself may be passed to any thread.
    const RecordSnapshot &snapshot() const;
    Revision revision() const;

private:
    static constexpr std::size_t MaxRecentChanges = 1024;

    RecordSnapshot snapshot_;
    /// Changes with consecutive revisions, the newest at the back.
    std::deque<Change> recentChanges_;
};

} // namespace cowsliphead
