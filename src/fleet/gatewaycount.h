#pragma once

#include <cstddef>

namespace cowsliphead
{

/// How many gateways have lately shown themselves in the store.
struct GatewayCount {
    std::size_t count_ = 0;
};

} // namespace cowsliphead
