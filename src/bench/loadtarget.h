#pragma once

#include <cstdint>
#include <string>

namespace cowsliphead
{

/// Where a load goes: a daemon or an engine on this machine's loopback address.
struct LoadTarget {
    std::uint16_t port_ = 0;

    /// The key that each request carries; empty for none.
    std::string key_;
};

} // namespace cowsliphead
