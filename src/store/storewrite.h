#pragma once

#include <string>

#include "store/leaseid.h"
#include "store/storerevision.h"

namespace cowsliphead
{

/// A write that takes effect only if the key still stands at the expected revision.
struct StoreWrite {
    std::string key_;
    std::string value_;

    /// 0: the key must be absent.
    StoreRevision expectedRevision_ = 0;

    /// The key goes with this lease; empty: it stays.
    LeaseId lease_;

    /// True to erase the key; the value is then ignored.
    bool isErase_ = false;
};

} // namespace cowsliphead
