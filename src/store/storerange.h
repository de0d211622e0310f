#pragma once

#include <vector>

#include "store/storeentry.h"

namespace cowsliphead
{

/// A page of the entries under a prefix.
struct StoreRange {
    std::vector<StoreEntry> entries_;

    /// True if more entries follow behind the last one.
    bool hasMore_ = false;

    /// The store's revision when it answered; a watch goes on from that of the first page.
    StoreRevision revision_ = 0;
};

} // namespace cowsliphead
