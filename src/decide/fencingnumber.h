#pragma once

#include <cstdint>

namespace cowsliphead
{

/// Fencing token of a duty: increases with each new holder; 0 stands before the first holder.
using FencingNumber = std::uint64_t;

} // namespace cowsliphead
