#pragma once

#include <cstddef>
#include <map>

#include "decide/usagewindow.h"

namespace cowsliphead
{

/// Derives the number of gateways from the usage counts that each gateway writes for every window.
/// Thread safety: all members, on the owner's task only.
class GatewayCounter
{
public:
    /// Records how many gateways wrote counts for the window.
    void record(UsageWindow window, std::size_t gateways);

    /// Returns the largest number of the last windows, since a gateway that cannot reach the store for a while still serves; zero
    /// if no window was recorded.
    std::size_t count() const;

private:
    std::map<UsageWindow, std::size_t> gateways_;
};

} // namespace cowsliphead
