#pragma once

#include <cstddef>

namespace cowsliphead
{

/// The number of gateways that wrote usage counts to the store in recent windows.
struct GatewayCount {
    std::size_t count_ = 0;
};

} // namespace cowsliphead
