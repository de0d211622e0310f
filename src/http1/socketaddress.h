#pragma once

#include <compare>
#include <cstdint>
#include <string>

namespace cowsliphead
{

/// Where a socket listens: an IPv4 address in dotted form and a port.
struct SocketAddress {
    std::string host_;
    std::uint16_t port_ = 0;

    auto operator<=>(const SocketAddress &) const = default;
};

} // namespace cowsliphead
