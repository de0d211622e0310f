#pragma once

#include <map>

#include "decide/usagefigures.h"
#include "decide/usagesubject.h"

namespace cowsliphead
{

/// Figures by account and model; a subject without figures is absent.
using UsageSums = std::map<UsageSubject, UsageFigures>;

/// Adds added to sums. Thread safety: any thread.
void addUsage(UsageSums &sums, const UsageSums &added);

/// Returns sums minus subtracted; a figure that would become negative becomes zero. Thread safety: any thread.
UsageSums usageDifference(const UsageSums &sums, const UsageSums &subtracted);

} // namespace cowsliphead
