#pragma once

#include <cstdint>

namespace cowsliphead
{

/// Identifies a version of a text. Two relays may give the same revision to different lists of endpoints, since an entry may expire at one
/// of them earlier than at the other, so the revision alone does not.
struct TextVersion {
    std::uint64_t revision_ = 0;
    std::uint64_t digest_ = 0;

    bool operator==(const TextVersion &) const = default;
};

} // namespace cowsliphead
