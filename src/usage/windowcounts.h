#pragma once

#include <cstdint>
#include <map>

#include "core/accountid.h"
#include "decide/usagewindow.h"

namespace cowsliphead
{

/// Number of requests that began in a window, per client account.
struct WindowCounts {
    UsageWindow window_ = 0;
    std::map<AccountId, std::uint64_t> requests_;

    /// False if the window had not ended when the counts were written, so that requests may be missing.
    bool isFinal_ = false;
};

} // namespace cowsliphead
