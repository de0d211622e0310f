#pragma once

#include <string>

#include "core/changeid.h"
#include "core/revision.h"
#include "records/changeaction.h"
#include "records/recordkey.h"

namespace cowsliphead
{

/// A change of one record, stored as an entry of the change log.
struct Change {
    Revision revision_ = 0;
    ChangeId changeId_;
    ChangeAction action_ = ChangeAction::Put;
    RecordKey key_;

    /// The record's JSON text; empty for a withdrawal.
    std::string text_;
};

} // namespace cowsliphead
