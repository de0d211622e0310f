#pragma once

#include <cstdint>

namespace cowsliphead
{

/// The local port of a bound socket; 0 if it has none. Thread safety: any thread.
std::uint16_t portOfSocket(int descriptor);

} // namespace cowsliphead
