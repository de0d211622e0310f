#pragma once

#include <chrono>

namespace cowsliphead
{

/// Point on the monotonic clock of one process; never compared across processes.
using MonotonicTime = std::chrono::steady_clock::time_point;

/// Point on the wall clock; used for what people and other systems read.
using WallTime = std::chrono::system_clock::time_point;

} // namespace cowsliphead
