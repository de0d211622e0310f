#pragma once

#include <cstdint>

namespace cowsliphead
{

/// Endpoints of a service in a failure domain by kind, without those that are leaving.
struct EndpointCounts {
    std::uint32_t base_ = 0;
    std::uint32_t reclaimable_ = 0;

    /// Thread safety: any thread.
    std::uint32_t total() const
    {
        return base_ + reclaimable_;
    }

    bool operator==(const EndpointCounts &) const = default;
};

} // namespace cowsliphead
