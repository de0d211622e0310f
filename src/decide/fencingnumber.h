#pragma once

#include <cstdint>

namespace cowsliphead
{

/// Fencing token of a duty: increases with each new holder; 0 if there has been no holder yet.
using FencingNumber = std::uint64_t;

} // namespace cowsliphead
