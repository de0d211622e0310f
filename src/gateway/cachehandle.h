#pragma once

#include <string>

#include "http1/socketaddress.h"

namespace cowsliphead
{

/// A prompt's KV cache that an engine keeps for a short time, until another engine takes it.
struct CacheHandle {
    SocketAddress engine_;
    std::string id_;
};

} // namespace cowsliphead
