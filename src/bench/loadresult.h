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

/// The results of a load and the resource usage of the measured processes.
struct LoadResult {
    std::vector<TargetResult> targets_;
    std::chrono::nanoseconds wallTime_{ 0 };

    /// Difference between the end and the start of the load; resident memory is the observed peak.
    ProcessUsage usage_;

    /// Values by name; a name ends in its unit. Names for the first target have no prefix, those for the others start with "direct_".
    /// Thread safety: owner only.
    std::map<std::string, double> values() const;
};

} // namespace cowsliphead
