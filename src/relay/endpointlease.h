#pragma once

#include <chrono>
#include <vector>

#include "relay/endpointload.h"

namespace cowsliphead
{

/// How much longer an endpoint may be used whose entry may have expired only because the store was unavailable.
struct EndpointLease {
    /// A longer time is a mistake of the sender and is cut.
    static constexpr std::chrono::milliseconds MaxRemaining{ 2000 };

    EndpointKey endpoint_ = 0;
    std::chrono::milliseconds remaining_{ 0 };
};

using EndpointLeases = std::vector<EndpointLease>;

} // namespace cowsliphead
