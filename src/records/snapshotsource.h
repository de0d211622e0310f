#pragma once

#include <cstddef>

#include "core/time.h"
#include "records/recordset.h"
#include "records/snapshotpart.h"

namespace cowsliphead
{

/// Serves snapshots in parts. A snapshot is retained for a while, so that a reader gets all parts of the same revision
/// even though the records change meanwhile. Thread safety: owner task only.
class SnapshotSource
{
public:
    /// The part that follows the key, if the snapshot of the wanted revision is still retained; else the first part of the retained or a
    /// new snapshot. The part holds up to maxBytes of texts or a little more, and at least one record if any is left.
    SnapshotPart part(const RecordSet &current, Revision wanted, const RecordKey &after, std::size_t maxBytes, MonotonicTime now);

private:
    static constexpr std::chrono::seconds RetentionPeriod{ 20 };

    Revision revision_ = 0;
    RecordSet::RecordMap records_;
    MonotonicTime takenAt_;
};

} // namespace cowsliphead
