#pragma once

#include "core/time.h"

namespace cowsliphead
{

/// A clock that advances only when advance() is called. Thread safety: owner task only.
class VirtualClock
{
public:
    MonotonicTime now() const
    {
        return MonotonicTime(elapsed_);
    }

    WallTime wallNow() const
    {
        return WallTime(std::chrono::duration_cast<WallTime::duration>(elapsed_));
    }

    /// Advances both clocks. Precondition: step is not negative.
    void advance(std::chrono::nanoseconds step)
    {
        elapsed_ += step;
    }

private:
    std::chrono::nanoseconds elapsed_ = std::chrono::hours(1);
};

} // namespace cowsliphead
