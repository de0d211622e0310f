#pragma once

#include <chrono>

namespace cowsliphead
{

/// What the holder of the duties is told at its start.
struct DutySettings {
    /// Length of a usage window; zero: no usage is reported.
    std::chrono::milliseconds windowLength_{ 5000 };

    /// How long after its end a window's report may come.
    std::chrono::milliseconds reportDeadline_{ 10000 };

    /// For this long the calls of two holders must not alternate.
    std::chrono::milliseconds leaseDuration_{ 3000 };
};

} // namespace cowsliphead
