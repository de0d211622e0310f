#pragma once

#include <chrono>
#include <cstdint>
#include <random>

#include "core/time.h"

namespace cowsliphead
{

/// Schedules when a candidate for a duty checks whether the duty is free. The intervals are exponentially distributed, so all candidates
/// together check at a steady rate whenever they started and whenever the mean changed; intervals of nearly the same length would leave a
/// gap of that length after a common start. Thread safety: owner task only.
class CandidateSchedule
{
public:
    /// mean: the mean interval between two checks of this candidate. Precondition: mean is positive.
    CandidateSchedule(std::chrono::milliseconds mean, std::uint32_t seed);

    /// Sets the mean interval from the next check on. Precondition: mean is positive.
    void setMean(std::chrono::milliseconds mean);

    /// True if a check is due.
    bool isDue(MonotonicTime now) const;

    /// A check was made; schedules the next one.
    void checked(MonotonicTime now);

    /// Makes no check due for this long.
    void pause(std::chrono::milliseconds duration, MonotonicTime now);

private:
    std::chrono::milliseconds mean_;
    std::minstd_rand random_;
    MonotonicTime next_;
};

} // namespace cowsliphead
