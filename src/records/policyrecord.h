#pragma once

#include <chrono>
#include <cstdint>
#include <string>

namespace cowsliphead
{

/// Retry limits and timeouts of requests.
struct PolicyRecord {
    std::string policy_;

    /// Maximum number of attempts for one request, the first included.
    std::uint32_t maxAttempts_ = 3;

    /// Retry budget of a daemon, as retries for each hundred requests.
    std::uint32_t retryPercent_ = 20;

    std::chrono::milliseconds firstTokenTimeout_{ 10000 };
    std::chrono::milliseconds betweenTokensTimeout_{ 5000 };
    std::chrono::milliseconds requestDeadline_{ 120000 };
};

} // namespace cowsliphead
