#pragma once

#include <cstdint>

namespace cowsliphead
{

/// Grows with each holder of a duty; 0 stands before the first holder.
using FencingNumber = std::uint64_t;

} // namespace cowsliphead
