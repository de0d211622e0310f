#pragma once

#include <cstdint>
#include <string>

namespace cowsliphead
{

/// Target of a load: a daemon or an engine on this machine's loopback address.
struct LoadTarget {
    std::uint16_t port_ = 0;

    /// API key sent with each request; empty for none.
    std::string key_;
};

} // namespace cowsliphead
