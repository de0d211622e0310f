#pragma once

#include <vector>

#include "usage/usagereport.h"

namespace cowsliphead
{

struct SealedWindow;

/// Builds the reports of a sealed window, one per account, without fencing numbers. Thread safety: any thread.
std::vector<UsageReport> buildUsageReports(const SealedWindow &sealed);

} // namespace cowsliphead
