#pragma once

#include <cstdint>

#include "core/instanceid.h"
#include "decide/usagewindow.h"

namespace cowsliphead
{

/// The store holds what a gateway has counted in a window, up to this version.
struct CountsStored {
    InstanceId gateway_;
    UsageWindow window_ = 0;
    std::uint64_t version_ = 0;
};

} // namespace cowsliphead
