#pragma once

#include <ctime>

#include "core/time.h"

namespace cowsliphead
{

/// The system clocks of this instance. Thread safety: any thread.
class SystemClock
{
public:
    /// Includes the time during which the instance is suspended, since leases and timeouts elsewhere go on expiring meanwhile.
    MonotonicTime now() const
    {
        timespec time{};
        clock_gettime(CLOCK_BOOTTIME, &time);
        return MonotonicTime(std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec));
    }

    WallTime wallNow() const
    {
        return std::chrono::system_clock::now();
    }
};

} // namespace cowsliphead
