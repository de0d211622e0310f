#pragma once

#include <cstddef>
#include <map>

#include "decide/usagewindow.h"

namespace cowsliphead
{

/// Counts the gateways by the usage counts that each of them writes for every window.
class GatewayCensus
{
public:
    /// So many gateways wrote counts of the window. Thread safety: owner task only.
    void counted(UsageWindow window, std::size_t gateways);

    /// The most gateways of the last windows, since one that cannot reach the store for a while still serves; zero while none is
    /// known. Thread safety: owner task only.
    std::size_t count() const;

private:
    std::map<UsageWindow, std::size_t> gateways_;
};

} // namespace cowsliphead
