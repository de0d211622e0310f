#pragma once

#include <string>
#include <vector>

#include "core/revision.h"

namespace cowsliphead
{

/// A consecutive part of the records of a snapshot.
struct SnapshotPart {
    Revision revision_ = 0;
    /// The records' JSON texts, in the order of their keys.
    std::vector<std::string> texts_;
    bool isLast_ = false;
};

} // namespace cowsliphead
