#pragma once

#include <chrono>

namespace cowsliphead
{

/// Timing of a duty's lease.
struct LeasePolicy {
    std::chrono::milliseconds duration_{ 10000 };

    /// How long before the lease ends its holder stops acting. Covers the difference in clock rate and the time that an action may
    /// take.
    std::chrono::milliseconds margin_{ 3000 };

    /// How long a successor waits after it has taken the lease, so that its predecessor's actions in progress can end.
    std::chrono::milliseconds successorWait_{ 2000 };

    /// How often the holder renews.
    std::chrono::milliseconds renewInterval_{ 2000 };

    /// How often a process without the duty checks whether the lease is free.
    std::chrono::milliseconds candidateInterval_{ 5000 };
};

} // namespace cowsliphead
