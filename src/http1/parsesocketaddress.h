#pragma once

#include <string_view>

#include "core/result.h"

namespace cowsliphead
{

struct SocketAddress;

/// Reads "IP:PORT". Errors: CodecMalformed. Thread safety: any thread.
Result<SocketAddress> parseSocketAddress(std::string_view text);

/// The same, to listen on: port 0 stands for a free one. Errors: CodecMalformed. Thread safety: any thread.
Result<SocketAddress> parseListenAddress(std::string_view text);

} // namespace cowsliphead
