#pragma once

#include <chrono>
#include <cstdint>
#include <vector>

#include "relay/endpointload.h"

namespace cowsliphead
{

/// How fast some gateways have seen an engine read prompts. Both sums decay with the same half-life, so that sums over gateways can be added.
struct EndpointObservation {
    /// Of the engine's incarnation.
    EndpointKey endpoint_ = 0;
    std::uint64_t tokensRead_ = 0;
    std::chrono::milliseconds readingTime_{ 0 };

    auto operator<=>(const EndpointObservation &) const = default;
};

/// In order of the endpoints' keys, each at most once.
using EndpointObservations = std::vector<EndpointObservation>;

} // namespace cowsliphead
