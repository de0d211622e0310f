#pragma once

#include <vector>

#include "decide/crashreport.h"

namespace cowsliphead
{

/// Tells a task of a gateway about requests under which endpoints crashed.
struct CrashReports {
    std::vector<CrashReport> reports_;
};

} // namespace cowsliphead
