#pragma once

#include <ctime>

#include "core/time.h"

namespace cowsliphead
{

/// The clocks of this machine.
class SystemClock
{
public:
    /// Counts the time that the machine is suspended, as what lapses elsewhere goes on lapsing. Thread safety: any thread.
    MonotonicTime now() const
    {
        timespec time{};
        clock_gettime(CLOCK_BOOTTIME, &time);
        return MonotonicTime(std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec));
    }

    /// Thread safety: any thread.
    WallTime wallNow() const
    {
        return std::chrono::system_clock::now();
    }
};

} // namespace cowsliphead
