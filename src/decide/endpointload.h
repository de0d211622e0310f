#pragma once

#include <cstdint>

namespace cowsliphead
{

/// What is known of an endpoint's work at the time of a choice.
struct EndpointLoad {
    /// Requests that this daemon has sent and that have not ended.
    std::uint32_t inFlight_ = 0;

    /// Requests that the endpoint has from all daemons: as it last reported, and what this daemon has sent since.
    std::uint32_t expected_ = 0;
};

} // namespace cowsliphead
