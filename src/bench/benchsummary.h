#pragma once

#include <string>
#include <vector>

#include "bench/benchpoint.h"

namespace cowsliphead
{

/// All points by series with a line fitted to each value, as JSON; a series with one size has no fits. Thread safety: any thread.
std::string summarize(const std::vector<BenchPoint> &points, const std::string &note);

} // namespace cowsliphead
