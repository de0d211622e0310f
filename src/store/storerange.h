#pragma once

#include <vector>

#include "store/storeentry.h"

namespace cowsliphead
{

/// A page of the entries whose keys have a prefix.
struct StoreRange {
    std::vector<StoreEntry> entries_;

    /// True if there are more entries after the last one.
    bool hasMore_ = false;

    /// The store's revision when it answered. A watch continues from the revision of the first page.
    StoreRevision revision_;
};

} // namespace cowsliphead
