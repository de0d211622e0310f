#pragma once

#include <cstdint>

namespace cowsliphead
{

/// The planned endpoints of a service in a failure domain.
struct ScaleTarget {
    /// Both kinds together.
    std::uint32_t total_ = 0;

    /// Base endpoints among them once all reclaimable ones run.
    std::uint32_t base_ = 0;

    bool operator==(const ScaleTarget &) const = default;
};

} // namespace cowsliphead
