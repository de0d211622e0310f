#pragma once

#include <concepts>

#include "core/time.h"

namespace cowsliphead
{

/// Provides monotonic and wall-clock time. The program uses SystemClock, tests and experiments use VirtualClock.
template <typename T>
concept Clock = requires(const T &clock)
{
    {
        clock.now()
        } -> std::same_as<MonotonicTime>;
    {
        clock.wallNow()
        } -> std::same_as<WallTime>;
};

} // namespace cowsliphead
