#pragma once

#include <compare>
#include <cstdint>
#include <string>

namespace cowsliphead
{

/// The address of a listening socket: an IPv4 address in dotted-decimal form and a port.
struct SocketAddress {
    std::string host_;
    std::uint16_t port_ = 0;

    auto operator<=>(const SocketAddress &) const = default;
};

} // namespace cowsliphead
