#pragma once

#include <string>

#include "decide/peeraddress.h"

namespace cowsliphead
{

/// The address as a URL for nng. Thread safety: any thread.
inline std::string peerUrl(const PeerAddress &address)
{
    return "tcp://" + address.host_ + ":" + std::to_string(address.port_);
}

} // namespace cowsliphead
