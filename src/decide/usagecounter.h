#pragma once

#include "decide/usagesums.h"
#include "decide/usagewindow.h"

namespace cowsliphead
{

/// Everything that one incarnation has counted since it started. No figure ever decreases.
struct UsageCounter {
    /// The newest window in which usage was counted.
    UsageWindow window_ = 0;

    /// Usage of all windows before the newest one.
    UsageSums earlier_;

    /// All usage, including that of the newest window.
    UsageSums total_;

    /// True once the counter no longer changes.
    bool isFrozen_ = false;

    bool operator==(const UsageCounter &) const = default;

    /// The usage of the window and of all windows before it. Thread safety: as any value type.
    const UsageSums &usageThrough(UsageWindow window) const
    {
        return window_ <= window ? total_ : earlier_;
    }
};

} // namespace cowsliphead
