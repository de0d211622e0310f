#pragma once

#include <cstdint>

namespace cowsliphead
{

/// What is known of an endpoint's work at the time of a choice.
struct EndpointLoad {
    /// Requests that this daemon has sent and that have not ended.
    std::uint32_t inFlight_ = 0;
};

} // namespace cowsliphead
