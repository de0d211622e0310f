#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "bench/processusage.h"
#include "bench/targetresult.h"

namespace cowsliphead
{

/// What a load gave and what the measured processes spent on it.
struct LoadResult {
    std::vector<TargetResult> targets_;
    std::chrono::nanoseconds wallTime_{ 0 };

    /// The difference between after and before; resident memory is the most that was seen.
    ProcessUsage usage_;

    /// By name with its unit. The first target's values have no prefix, the second's are prefixed "direct". Thread safety: owner only.
    std::map<std::string, double> values() const;
};

} // namespace cowsliphead
