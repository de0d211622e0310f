#pragma once

#include <string>
#include <vector>

#include "store/keyrevision.h"
#include "store/leaseid.h"
#include "store/storerevision.h"

namespace cowsliphead
{

/// A compare-and-swap write, which takes effect only if the key is still at the expected revision.
struct StoreWrite {
    std::string key_;
    std::string value_;

    /// None: the key must be absent.
    StoreRevision expectedRevision_;

    /// The key is erased when this lease ends; empty for a permanent key.
    LeaseId lease_;

    /// True to erase the key; the value is ignored.
    bool isErase_ = false;

    /// Other keys that must still be at these revisions.
    std::vector<KeyRevision> guards_{};
};

} // namespace cowsliphead
