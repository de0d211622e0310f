#pragma once

#include <chrono>
#include <cstdint>
#include <string>

namespace cowsliphead
{

/// How requests are tried, how long they may take, and how often they are tried again.
struct PolicyRecord {
    std::string policy_;

    /// Attempts for one request, the first included.
    std::uint32_t maxAttempts_ = 3;

    /// Retries a daemon may spend for each hundred requests.
    std::uint32_t retryPercent_ = 20;

    std::chrono::milliseconds firstTokenTimeout_{ 10000 };
    std::chrono::milliseconds betweenTokensTimeout_{ 5000 };
    std::chrono::milliseconds requestDeadline_{ 120000 };
};

} // namespace cowsliphead
