#pragma once

#include <compare>
#include <cstdint>
#include <string>

namespace cowsliphead
{

/// The address on which a daemon listens for its peers.
struct PeerAddress {
    /// An IP address.
    std::string host_;
    std::uint16_t port_ = 0;

    auto operator<=>(const PeerAddress &) const = default;
};

} // namespace cowsliphead
