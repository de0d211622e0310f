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

/// The records that one process holds, and the last changes that led to them. Changes are taken in the order of their revisions
/// and never undone; a whole snapshot is taken only if it is newer.
class RecordLog
{
public:
    RecordLog();

    /// Takes the change if it is the next one. Returns false if it left the log as it was. Thread safety: owner task only.
    bool apply(const Change &change);
    /// Takes the snapshot if it is newer. Returns false if it left the log as it was. Precondition: not null. Thread safety: owner task only.
    bool install(const RecordSnapshot &snapshot);

    /// The changes after the revision, as many as fit into so many bytes but at least one; nothing if they are no longer at hand.
    /// Thread safety: owner task only.
    std::optional<std::vector<Change>> changesAfter(Revision revision, std::size_t maxBytes) const;
    /// Never null. Thread safety: owner task only; the snapshot itself can go to any thread.
    const RecordSnapshot &snapshot() const;
    /// Thread safety: owner task only.
    Revision revision() const;

private:
    static constexpr std::size_t TailCount = 1024;

    RecordSnapshot snapshot_;
    /// The last changes without a gap; the newest stands last.
    std::deque<Change> tail_;
};

} // namespace cowsliphead
