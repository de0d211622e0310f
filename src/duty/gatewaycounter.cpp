#include "duty/gatewaycounter.h"

#include <algorithm>

namespace cowsliphead
{

namespace
{

/// Number of windows considered; a killed gateway is counted for this many more windows.
constexpr std::size_t RememberedWindows = 3;

} // namespace

void GatewayCounter::record(UsageWindow window, std::size_t gateways)
{
    gateways_[window] = gateways;
    while (gateways_.size() > RememberedWindows) {
        gateways_.erase(gateways_.begin());
    }
}

std::size_t GatewayCounter::count() const
{
    std::size_t most = 0;
    for (const auto &[window, gateways] : gateways_) {
        most = std::max(most, gateways);
    }
    return most;
}

} // namespace cowsliphead
