#pragma once

#include <compare>
#include <cstdint>

namespace cowsliphead
{

/// How many endpoints crashed one after the other under a request. A crash counts only if the request was dispatched with the earlier
/// crashes known, so that endpoints that fail at the same moment count once. Counts of different gateways are merged by taking the
/// greater one.
struct CrashCount {
    /// Increases when crashes are taken back: the request was answered, or an endpoint turned out to be alive.
    std::uint32_t generation_ = 0;
    std::uint32_t crashes_ = 0;

    auto operator<=>(const CrashCount &) const = default;
};

} // namespace cowsliphead
