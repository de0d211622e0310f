#pragma once

#include <chrono>
#include <cstddef>

namespace cowsliphead
{

/// When a request becomes a suspect, how long entries are kept, and how many.
struct QuarantineLimits {
    /// Number of distinct endpoints that must crash before the request is run alone.
    std::size_t suspectThreshold_ = 2;
    std::chrono::milliseconds suspectDuration_ = std::chrono::minutes(10);
    std::chrono::milliseconds quarantineDuration_ = std::chrono::minutes(10);
    std::size_t maxEntries_ = 4096;
};

} // namespace cowsliphead
