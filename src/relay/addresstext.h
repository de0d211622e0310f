#pragma once

#include <optional>
#include <string>

#include "decide/peeraddress.h"

namespace cowsliphead
{

/// Returns an address for log lines; an empty text if it is absent. Thread safety: any thread.
inline std::string textOf(const std::optional<PeerAddress> &address)
{
    return address ? address->host_ + ":" + std::to_string(address->port_) : std::string();
}

} // namespace cowsliphead
