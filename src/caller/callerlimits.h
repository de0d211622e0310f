#pragma once

#include <chrono>
#include <cstddef>

namespace cowsliphead
{

/// What one caller may use up before the request is refused.
struct CallerLimits {
    std::size_t maxBodyBytes_ = std::size_t(8) << 20U;
    std::size_t maxConcurrentRequests_ = 4096;

    /// A connection that is silent for so long is closed.
    std::chrono::milliseconds readTimeout_{ 60000 };
    std::chrono::milliseconds writeTimeout_{ 60000 };
};

} // namespace cowsliphead
