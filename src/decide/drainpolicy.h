#pragma once

#include <chrono>

namespace cowsliphead
{

/// How a daemon leaves.
struct DrainPolicy {
    /// How long it goes on taking connections after it has announced that it leaves; longer than the balancer's health checks.
    std::chrono::milliseconds announcePeriod_{ 3000 };

    /// How long nothing may have come before it ends.
    std::chrono::milliseconds quietPeriod_{ 500 };
};

} // namespace cowsliphead
