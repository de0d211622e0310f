#pragma once

#include <optional>
#include <string>

#include "decide/peeraddress.h"

namespace cowsliphead
{

/// Parses HOST:PORT; nothing if the text has another form or the port is 0. Thread safety: any thread.
std::optional<PeerAddress> parsePeerAddress(const std::string &text);

} // namespace cowsliphead
