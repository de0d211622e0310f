#pragma once

#include <cstdint>

#include "core/instanceid.h"
#include "usage/windowcounts.h"

namespace cowsliphead
{

/// What one run of a gateway has counted in a window so far. Of several, the one with the highest version holds.
struct MemberCounts {
    InstanceId gateway_;
    std::uint64_t version_ = 0;
    WindowCounts counts_;
};

} // namespace cowsliphead
