#pragma once

#include <compare>
#include <cstdint>
#include <string>

namespace cowsliphead
{

/// Identifies the submission of a request that a claim belongs to. Unique across the fleet.
struct ClaimOwner {
    /// Identifies one run of one instance.
    std::string incarnation_;
    std::uint64_t sequence_ = 0;

    auto operator<=>(const ClaimOwner &) const = default;
};

} // namespace cowsliphead
