#pragma once

#include "core/virtualclock.h"

namespace cowsliphead
{

/// Clock of one simulated process; its monotonic time runs a little faster or slower than that of the others.
class SkewedClock
{
public:
    SkewedClock(const VirtualClock &clock, double rate)
        : clock_(clock)
        , rate_(rate)
    {
    }

    MonotonicTime now() const
    {
        return MonotonicTime(scaled(clock_.now().time_since_epoch()));
    }

    WallTime wallNow() const
    {
        return clock_.wallNow();
    }

private:
    MonotonicTime::duration scaled(MonotonicTime::duration elapsed) const
    {
        return std::chrono::duration_cast<MonotonicTime::duration>(elapsed * rate_);
    }

    const VirtualClock &clock_;
    double rate_;
};

} // namespace cowsliphead
