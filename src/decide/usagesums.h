#pragma once

#include <map>

#include "decide/usagefigures.h"
#include "decide/usagesubject.h"

namespace cowsliphead
{

/// Figures by account and model; a subject without figures is absent.
using UsageSums = std::map<UsageSubject, UsageFigures>;

/// Adds the second to the first. Thread safety: any thread.
void addUsage(UsageSums &sums, const UsageSums &added);

/// What the first has beyond the second; no figure falls below zero. Thread safety: any thread.
UsageSums usageDifference(const UsageSums &sums, const UsageSums &subtracted);

} // namespace cowsliphead
