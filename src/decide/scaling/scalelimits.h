#pragma once

#include <algorithm>
#include <cstdint>

namespace cowsliphead
{

/// Limits of the endpoints of a service in each failure domain, for both kinds together.
struct ScaleLimits {
    std::uint32_t minReplicas_ = 0;
    std::uint32_t maxReplicas_ = 0;

    /// Returns the number of base endpoints that are always kept. Thread safety: any thread.
    std::uint32_t keptBase(std::uint32_t original) const
    {
        const std::uint32_t kept = original <= SmallDomain ? 1 : MinBaseEndpoints;
        return std::min({ kept, original, maxReplicas_ });
    }

    /// Returns the least number of endpoints: KV caches of shared parts lie on the endpoints, and with less than half of them the parts are
    /// prefilled again. Thread safety: any thread.
    std::uint32_t floor(std::uint32_t original) const
    {
        return std::min(std::max({ minReplicas_, (original + 1) / 2, keptBase(original) }), maxReplicas_);
    }

private:
    /// Base endpoints kept in each failure domain, in case all reclaimable ones are reclaimed.
    static constexpr std::uint32_t MinBaseEndpoints = 2;

    /// Failure domains with at most this many endpoints keep one base endpoint.
    static constexpr std::uint32_t SmallDomain = 3;
};

} // namespace cowsliphead
