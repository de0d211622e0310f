#pragma once

#include <string_view>

#include "core/result.h"

namespace cowsliphead
{

struct SocketAddress;

/// Reads "IP:PORT". Errors: CodecMalformed. Thread safety: any thread.
Result<SocketAddress> parseSocketAddress(std::string_view text);

} // namespace cowsliphead
