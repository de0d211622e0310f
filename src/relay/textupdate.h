#pragma once

#include <cstdint>
#include <string>

#include "store/storerevision.h"

namespace cowsliphead
{

/// Brings a receiver's copy of a versioned text up to date.
struct TextUpdate {
    StoreRevision revision_;

    /// Digest of the text that the receiver must have; 0 if it needs none.
    std::uint64_t baseDigest_ = 0;

    /// Digest of the text that the update leads to.
    std::uint64_t digest_ = 0;

    /// The text, compressed against the base.
    std::string bytes_;
};

} // namespace cowsliphead
