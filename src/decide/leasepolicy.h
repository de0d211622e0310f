#pragma once

#include <chrono>

namespace cowsliphead
{

/// How long a duty's lease lasts and how much of it its holder leaves unused.
struct LeasePolicy {
    std::chrono::milliseconds duration_{ 10000 };

    /// Covers the difference in clock rate and the time that an action may be under way.
    std::chrono::milliseconds margin_{ 3000 };

    /// How long a successor waits after it has taken the lease, for what its predecessor still had open.
    std::chrono::milliseconds successorWait_{ 2000 };

    /// How often the holder renews.
    std::chrono::milliseconds renewInterval_{ 2000 };

    /// How often a process without the duty looks whether it is free.
    std::chrono::milliseconds candidateInterval_{ 5000 };
};

} // namespace cowsliphead
