#pragma once

#include <chrono>

namespace cowsliphead
{

/// Time on one process's monotonic clock; never compared across processes.
using MonotonicTime = std::chrono::steady_clock::time_point;

/// Wall-clock time; used for what people and other systems read.
using WallTime = std::chrono::system_clock::time_point;

} // namespace cowsliphead
