#pragma once

#include <map>

#include "core/accountid.h"
#include "core/modelid.h"
#include "decide/fencingnumber.h"
#include "decide/usagefigures.h"
#include "decide/usagewindow.h"

namespace cowsliphead
{

/// What the platform bills one client account for one window.
struct UsageReport {
    AccountId account_;
    UsageWindow window_ = 0;

    /// Of the reporter that sends it.
    FencingNumber fencing_ = 0;
    std::map<ModelId, UsageFigures> models_;
};

} // namespace cowsliphead
