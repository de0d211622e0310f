#pragma once

#include <string>

#include "store/storerevision.h"

namespace cowsliphead
{

/// A key of the store with its value, or the trace that it was erased.
struct StoreEntry {
    std::string key_;
    std::string value_;

    /// The write that made the entry what it is.
    StoreRevision revision_ = 0;

    /// True if the key is absent since that write; only watches tell of it.
    bool isErased_ = false;
};

} // namespace cowsliphead
