#pragma once

#include "core/time.h"

namespace cowsliphead
{

/// The clocks of this machine.
class SystemClock
{
public:
    /// Thread safety: any thread.
    MonotonicTime now() const
    {
        return std::chrono::steady_clock::now();
    }

    /// Thread safety: any thread.
    WallTime wallNow() const
    {
        return std::chrono::system_clock::now();
    }
};

} // namespace cowsliphead
