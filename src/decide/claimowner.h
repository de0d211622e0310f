#pragma once

#include <compare>
#include <cstdint>
#include <string>

namespace cowsliphead
{

/// The one sending of a request that a claim belongs to. No two sendings of the fleet have the same owner.
struct ClaimOwner {
    /// One run of one instance.
    std::string incarnation_;
    std::uint64_t sequence_ = 0;

    auto operator<=>(const ClaimOwner &) const = default;
};

} // namespace cowsliphead
