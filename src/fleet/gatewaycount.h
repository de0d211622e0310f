#pragma once

#include <cstddef>

namespace cowsliphead
{

/// The number of gateways of the fleet, as the relays know it.
struct GatewayCount {
    std::size_t count_ = 0;
};

} // namespace cowsliphead
