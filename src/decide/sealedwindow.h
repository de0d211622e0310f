#pragma once

#include "decide/usagesums.h"
#include "decide/usagewindow.h"

namespace cowsliphead
{

/// The figures of one window, fixed once for all.
struct SealedWindow {
    UsageWindow window_ = 0;
    UsageSums figures_;

    bool operator==(const SealedWindow &) const = default;
};

} // namespace cowsliphead
