#pragma once

#include <optional>
#include <string>

#include "decide/peeraddress.h"

namespace cowsliphead
{

/// Reads HOST:PORT; nothing if it is neither. Thread safety: any thread.
std::optional<PeerAddress> parsePeerAddress(const std::string &text);

} // namespace cowsliphead
