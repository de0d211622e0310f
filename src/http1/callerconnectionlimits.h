#pragma once

#include <chrono>
#include <cstddef>

namespace cowsliphead
{

/// Size limits and timeouts of a caller's connection.
struct CallerConnectionLimits {
    std::size_t maxHeadBytes_ = 16384;
    std::size_t maxBodyBytes_ = 4194304;

    /// Maximum time from the first byte of a request to the end of its head.
    std::chrono::milliseconds headTimeout_{ 3000 };

    /// Maximum time between two reads of a body, and between two requests.
    std::chrono::milliseconds idleTimeout_{ 15000 };
};

} // namespace cowsliphead
