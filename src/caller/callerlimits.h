#pragma once

#include <chrono>
#include <cstddef>

namespace cowsliphead
{

/// Limits on requests and connections of callers.
struct CallerLimits {
    std::size_t maxBodyBytes_ = std::size_t(8) << 20U;
    std::size_t maxConcurrentRequests_ = 4096;

    /// A connection on which nothing is received for this long is closed.
    std::chrono::milliseconds readTimeout_{ 60000 };
    std::chrono::milliseconds writeTimeout_{ 60000 };
};

} // namespace cowsliphead
