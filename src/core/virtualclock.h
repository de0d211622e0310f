#pragma once

#include "core/time.h"

namespace cowsliphead
{

/// A clock that moves only when it is told to.
class VirtualClock
{
public:
    /// Thread safety: owner task only.
    MonotonicTime now() const
    {
        return MonotonicTime(elapsed_);
    }

    /// Thread safety: owner task only.
    WallTime wallNow() const
    {
        return WallTime(std::chrono::duration_cast<WallTime::duration>(elapsed_));
    }

    /// Moves both clocks on. Precondition: step is not negative. Thread safety: owner task only.
    void advance(std::chrono::nanoseconds step)
    {
        elapsed_ += step;
    }

private:
    std::chrono::nanoseconds elapsed_ = std::chrono::hours(1);
};

} // namespace cowsliphead
