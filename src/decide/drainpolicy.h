#pragma once

#include <chrono>

namespace cowsliphead
{

/// Timing of a graceful shutdown.
struct DrainPolicy {
    /// How long the daemon accepts connections after it has announced the drain; longer than the load balancer's health check
    /// interval.
    std::chrono::milliseconds announcePeriod_{ 3000 };

    /// How long no request may have arrived before the daemon exits.
    std::chrono::milliseconds quietPeriod_{ 500 };

    /// Time from the stop signal until the process is killed.
    std::chrono::milliseconds grace_{ 120000 };
};

} // namespace cowsliphead
