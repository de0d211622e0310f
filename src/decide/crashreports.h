#pragma once

#include <vector>

#include "decide/crashclearance.h"
#include "decide/crashsighting.h"

namespace cowsliphead
{

/// What one crash register tells another.
struct CrashReports {
    std::vector<CrashSighting> sightings_{};
    std::vector<CrashClearance> clearances_{};

    /// Thread safety: as any value type.
    std::size_t size() const
    {
        return sightings_.size() + clearances_.size();
    }
};

} // namespace cowsliphead
