#pragma once

#include <chrono>

namespace cowsliphead
{

/// Settings for usage reports and the lease of the duties.
struct DutySettings {
    /// Length of a usage window; zero disables usage reports.
    std::chrono::milliseconds windowLength_{ 5000 };

    /// A window's report must arrive within this time after the window's end.
    std::chrono::milliseconds reportDeadline_{ 10000 };

    /// Duration of the duty lease; calls of two holders must not interleave within this time.
    std::chrono::milliseconds leaseDuration_{ 3000 };

    /// Time from the stop signal until the process is killed.
    std::chrono::milliseconds stopGrace_{ 8000 };
};

} // namespace cowsliphead
