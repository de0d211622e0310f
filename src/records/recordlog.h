#pragma once

#include "core/revision.h"
#include "records/recordsnapshot.h"

namespace cowsliphead
{

struct Change;

/// The records that one process holds. Changes are taken in the order of their revisions and never undone.
class RecordLog
{
public:
    RecordLog();

    /// Takes the change if it is the next one. Returns false if it left the log as it was. Thread safety: owner task only.
    bool apply(const Change &change);

    /// Never null. Thread safety: owner task only; the snapshot itself can go to any thread.
    const RecordSnapshot &snapshot() const;

    /// Thread safety: owner task only.
    Revision revision() const;

private:
    RecordSnapshot snapshot_;
};

} // namespace cowsliphead
