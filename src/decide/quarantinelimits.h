#pragma once

#include <chrono>
#include <cstddef>

namespace cowsliphead
{

/// When a request becomes a suspect, and for how long and of how many requests that is remembered.
struct QuarantineLimits {
    /// Different endpoints that have to crash before the request is tried alone.
    std::size_t crashesOfSuspect_ = 2;
    std::chrono::milliseconds suspicionTime_ = std::chrono::minutes(10);
    std::chrono::milliseconds quarantineTime_ = std::chrono::minutes(10);
    std::size_t maxEntries_ = 4096;
};

} // namespace cowsliphead
