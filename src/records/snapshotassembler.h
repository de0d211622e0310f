#pragma once

#include <memory>
#include <vector>

#include "records/record.h"
#include "records/recordsnapshot.h"
#include "records/snapshotpart.h"

namespace cowsliphead
{

/// Puts the parts of a snapshot together again.
class SnapshotAssembler
{
public:
    /// Takes the next part; one of another snapshot starts anew. Returns the whole set once the last part is in, else null.
    /// Precondition: the part was asked for with revision() and lastKey(). Thread safety: owner task only.
    RecordSnapshot add(const SnapshotPart &part);

    /// The snapshot under way; 0 if there is none. Thread safety: owner task only.
    Revision revision() const;
    /// The last record that has arrived. Thread safety: owner task only.
    RecordKey lastKey() const;
    /// Drops what has arrived. Thread safety: owner task only.
    void clear();

private:
    Revision revision_ = 0;
    std::vector<std::shared_ptr<const Record>> records_;
};

} // namespace cowsliphead
