#pragma once

#include <string>

#include "store/leaseid.h"
#include "store/storerevision.h"

namespace cowsliphead
{

/// A compare-and-swap write, which takes effect only if the key is still at the expected revision.
struct StoreWrite {
    std::string key_;
    std::string value_;

    /// 0: the key must be absent.
    StoreRevision expectedRevision_ = 0;

    /// The key is erased when this lease ends; empty for a permanent key.
    LeaseId lease_;

    /// True to erase the key; the value is ignored.
    bool isErase_ = false;
};

} // namespace cowsliphead
