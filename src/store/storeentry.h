#pragma once

#include <string>

#include "store/storerevision.h"

namespace cowsliphead
{

/// A key with its value, or a tombstone for an erased key.
struct StoreEntry {
    std::string key_;
    std::string value_;

    /// Revision of the last write to the key.
    StoreRevision revision_;

    /// True if that write erased the key. Only watches return such entries.
    bool isErased_ = false;
};

} // namespace cowsliphead
