#pragma once

#include <vector>

#include "store/storeentry.h"

namespace cowsliphead
{

/// What a watch found: the entries since the revision asked for, in the order of their writes, and where to go on.
struct WatchAnswer {
    std::vector<StoreEntry> entries_;
    StoreRevision revision_ = 0;
};

} // namespace cowsliphead
