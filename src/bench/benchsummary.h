#pragma once

#include <string>
#include <vector>

#include "bench/benchpoint.h"

namespace cowsliphead
{

/// JSON with all points by series and a line fitted to each measured value. A value measured at one size only has no fit.
/// Thread safety: any thread.
std::string summarize(const std::vector<BenchPoint> &points, const std::string &note);

} // namespace cowsliphead
