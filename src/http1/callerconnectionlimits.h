#pragma once

#include <chrono>
#include <cstddef>

namespace cowsliphead
{

/// What a caller may send on a connection and how long it may take.
struct CallerConnectionLimits {
    std::size_t maxHeadBytes_ = 16384;
    std::size_t maxBodyBytes_ = 4194304;

    /// From the first byte of a request to the end of its head.
    std::chrono::milliseconds headTimeout_{ 3000 };

    /// Between two reads of a body, and between two requests.
    std::chrono::milliseconds idleTimeout_{ 15000 };
};

} // namespace cowsliphead
