#pragma once

#include <string>

#include "core/changeid.h"
#include "core/revision.h"
#include "records/changeaction.h"
#include "records/recordkey.h"

namespace cowsliphead
{

/// One accepted change of the records: an entry of the log.
struct Change {
    Revision revision_ = 0;
    ChangeId changeId_;
    ChangeAction action_ = ChangeAction::Put;
    RecordKey key_;

    /// The record's JSON text; empty for a withdrawal.
    std::string text_;
};

} // namespace cowsliphead
