#pragma once

#include <vector>

#include "usage/usagereport.h"

namespace cowsliphead
{

struct SealedWindow;

/// The reports of a sealed window, one an account. Thread safety: any thread.
std::vector<UsageReport> buildUsageReports(const SealedWindow &sealed);

} // namespace cowsliphead
