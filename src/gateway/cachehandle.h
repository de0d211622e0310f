#pragma once

#include <string>

#include "http1/socketaddress.h"

namespace cowsliphead
{

/// Refers to a prompt's KV cache, which an engine keeps for a short time until another engine fetches it.
struct CacheHandle {
    SocketAddress engine_;
    std::string id_;
};

} // namespace cowsliphead
