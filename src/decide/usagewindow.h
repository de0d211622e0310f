#pragma once

#include <chrono>
#include <cstdint>

#include "core/time.h"

namespace cowsliphead
{

/// Number of a usage reporting period, counted from the wall clock's epoch.
using UsageWindow = std::uint64_t;

/// Returns the window that contains the time. Precondition: length is positive and the time is not before the epoch. Thread safety:
/// any thread.
inline UsageWindow usageWindowAt(WallTime time, std::chrono::milliseconds length)
{
    return static_cast<UsageWindow>(std::chrono::duration_cast<std::chrono::milliseconds>(time.time_since_epoch()) / length);
}

} // namespace cowsliphead
