#pragma once

#include "decide/usagesums.h"
#include "decide/usagewindow.h"

namespace cowsliphead
{

/// All that one incarnation has counted since it started. No figure ever falls.
struct UsageCounter {
    /// The newest window that the counter has seen.
    UsageWindow window_ = 0;

    /// Usage of the windows before that one.
    UsageSums earlier_;

    /// All usage, that of the newest window included.
    UsageSums total_;

    /// True once nothing is added to the counter any more.
    bool isFrozen_ = false;

    bool operator==(const UsageCounter &) const = default;

    /// What a report of the window and all windows before it has to hold. Thread safety: as any value type.
    const UsageSums &through(UsageWindow window) const
    {
        return window_ <= window ? total_ : earlier_;
    }
};

} // namespace cowsliphead
