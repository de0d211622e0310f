#pragma once

#include <chrono>

#include <sys/time.h>

namespace cowsliphead
{

/// The duration as libevent takes it. Precondition: not negative. Thread safety: any thread.
inline timeval toTimeValue(std::chrono::microseconds duration)
{
    const auto seconds = std::chrono::duration_cast<std::chrono::seconds>(duration);
    timeval value{};
    value.tv_sec = seconds.count();
    value.tv_usec = (duration - seconds).count();
    return value;
}

} // namespace cowsliphead
