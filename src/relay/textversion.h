#pragma once

#include <cstdint>

#include "store/storerevision.h"

namespace cowsliphead
{

/// Identifies a version of a text. Two relays may give the same revision to different lists of endpoints, since an entry may expire at one
/// of them earlier than at the other, so the revision alone does not.
struct TextVersion {
    StoreRevision revision_;
    std::uint64_t digest_ = 0;

    bool operator==(const TextVersion &) const = default;
};

} // namespace cowsliphead
