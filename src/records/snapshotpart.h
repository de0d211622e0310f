#pragma once

#include <string>
#include <vector>

#include "core/revision.h"

namespace cowsliphead
{

/// Some of the records of a snapshot.
struct SnapshotPart {
    Revision revision_ = 0;
    /// In the order of the records' keys.
    std::vector<std::string> texts_;
    bool isLast_ = false;
};

} // namespace cowsliphead
