#pragma once

#include <vector>

#include "store/storeentry.h"

namespace cowsliphead
{

/// The answer to a watch: the entries changed since the requested revision, in the order of their writes, and the revision from which the
/// next watch continues.
struct WatchAnswer {
    std::vector<StoreEntry> entries_;
    StoreRevision revision_;
};

} // namespace cowsliphead
