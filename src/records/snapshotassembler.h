#pragma once

#include <memory>
#include <vector>

#include "records/record.h"
#include "records/recordsnapshot.h"
#include "records/snapshotpart.h"

namespace cowsliphead
{

/// Assembles a record set from the parts of a snapshot, which arrive in the order of their keys. Thread safety: owner task only.
class SnapshotAssembler
{
public:
    /// Adds the next part. A part of another revision discards the parts so far and starts over. Returns the complete set after the
    /// last part, else null. Precondition: the part was requested with the current revision() and lastKey().
    RecordSnapshot add(const SnapshotPart &part);

    /// Revision of the snapshot that is being received; 0 if there is none.
    Revision revision() const;
    /// Key of the last record received; empty if there is none.
    RecordKey lastKey() const;
    /// Discards the parts received so far.
    void clear();

private:
    Revision revision_ = 0;
    std::vector<std::shared_ptr<const Record>> records_;
};

} // namespace cowsliphead
