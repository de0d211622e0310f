#pragma once

#include <cstddef>

#include "core/time.h"
#include "records/recordset.h"
#include "records/snapshotpart.h"

namespace cowsliphead
{

/// Hands out a snapshot in parts. The snapshot is kept for a while, so that all parts of one reader are of the same revision
/// although the records go on.
class SnapshotSource
{
public:
    /// The part after the record, of the wanted snapshot if that is kept, else the first one of another. Thread safety: owner task only.
    SnapshotPart part(const RecordSet &current, Revision wanted, const RecordKey &after, std::size_t maxBytes, MonotonicTime now);

private:
    static constexpr std::chrono::seconds KeepDuration{ 20 };

    Revision revision_ = 0;
    RecordSet::RecordMap records_;
    MonotonicTime takenAt_;
};

} // namespace cowsliphead
