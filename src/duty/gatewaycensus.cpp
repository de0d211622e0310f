#include "duty/gatewaycensus.h"

#include <algorithm>

namespace cowsliphead
{

namespace
{

/// Windows that count; a gateway that is killed counts for so long.
constexpr std::size_t Remembered = 3;

} // namespace

void GatewayCensus::counted(UsageWindow window, std::size_t gateways)
{
    gateways_[window] = gateways;
    while (gateways_.size() > Remembered) {
        gateways_.erase(gateways_.begin());
    }
}

std::size_t GatewayCensus::count() const
{
    std::size_t most = 0;
    for (const auto &[window, gateways] : gateways_) {
        most = std::max(most, gateways);
    }
    return most;
}

} // namespace cowsliphead
