#pragma once

#include <concepts>

#include "core/time.h"

namespace cowsliphead
{

/// Tells the time on both clocks; real in the program, virtual in the tests.
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
