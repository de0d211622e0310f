#pragma once

#include <cstdint>

namespace cowsliphead
{

/// An endpoint's load, as known when an endpoint is chosen for a request.
struct EndpointLoad {
    /// Requests that this daemon has sent and that have not ended.
    std::uint32_t inFlight_ = 0;

    /// Estimated requests in flight from all daemons: as the endpoint last reported, plus those that this daemon has sent since.
    std::uint32_t expected_ = 0;
};

} // namespace cowsliphead
