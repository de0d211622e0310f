#pragma once

#include <chrono>

#include <sys/time.h>

namespace cowsliphead
{

/// Converts a duration to libevent's timeval. Precondition: the duration is not negative. Thread safety: any thread.
inline timeval toTimeValue(std::chrono::microseconds duration)
{
    const auto seconds = std::chrono::duration_cast<std::chrono::seconds>(duration);
    timeval value{};
    value.tv_sec = seconds.count();
    value.tv_usec = (duration - seconds).count();
    return value;
}

} // namespace cowsliphead
