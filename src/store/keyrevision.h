#pragma once

#include <string>

#include "store/storerevision.h"

namespace cowsliphead
{

/// A key and the revision of its last write.
struct KeyRevision {
    std::string key_;
    StoreRevision revision_;
};

} // namespace cowsliphead
