#pragma once

#include <cstdint>
#include <string>

#include "decide/peeraddress.h"
#include "peer/messagepack.h"

namespace cowsliphead
{

/// Wire form of PeerAddress.
struct WireAddress {
    std::string host_;
    std::uint16_t port_ = 0;

    MSGPACK_DEFINE_ARRAY(host_, port_)
};

/// Thread safety: any thread.
inline WireAddress toWire(const PeerAddress &address)
{
    return { address.host_, address.port_ };
}

/// Thread safety: any thread.
inline PeerAddress fromWire(const WireAddress &wire)
{
    return { wire.host_, wire.port_ };
}

} // namespace cowsliphead
