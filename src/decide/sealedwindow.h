#pragma once

#include "decide/usagesums.h"
#include "decide/usagewindow.h"

namespace cowsliphead
{

/// The usage figures of one window, which no longer change.
struct SealedWindow {
    UsageWindow window_ = 0;
    UsageSums figures_;

    bool operator==(const SealedWindow &) const = default;
};

} // namespace cowsliphead
