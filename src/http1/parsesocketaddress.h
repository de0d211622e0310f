#pragma once

#include <string_view>

#include "core/result.h"

namespace cowsliphead
{

struct SocketAddress;

/// Parses "IP:PORT". Errors: CodecMalformed. Thread safety: any thread.
Result<SocketAddress> parseSocketAddress(std::string_view text);

/// Parses the address of a listening socket. As parseSocketAddress(), but port 0 is allowed and stands for any free port.
/// Errors: CodecMalformed. Thread safety: any thread.
Result<SocketAddress> parseListenAddress(std::string_view text);

} // namespace cowsliphead
