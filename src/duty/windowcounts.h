#pragma once

#include <cstdint>
#include <map>

#include "core/accountid.h"
#include "decide/usagewindow.h"

namespace cowsliphead
{

/// The requests that began in a window, by account.
struct WindowCounts {
    UsageWindow window_ = 0;
    std::map<AccountId, std::uint64_t> requests_;

    /// False while more requests may come: the window had not ended when the counts were written.
    bool isFinal_ = false;
};

} // namespace cowsliphead
