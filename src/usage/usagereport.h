#pragma once

#include <map>

#include "core/accountid.h"
#include "core/modelid.h"
#include "decide/fencingnumber.h"
#include "decide/usagefigures.h"
#include "decide/usagewindow.h"

namespace cowsliphead
{

/// The usage for which the platform bills one client account in one window.
struct UsageReport {
    AccountId account_;
    UsageWindow window_ = 0;

    /// Fencing number of the reporter that sends the report.
    FencingNumber fencing_ = 0;
    std::map<ModelId, UsageFigures> models_;
};

} // namespace cowsliphead
