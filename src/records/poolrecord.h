#pragma once

#include <cstdint>
#include <string>

#include "core/failuredomain.h"
#include "core/modelid.h"

namespace cowsliphead
{

/// Minimum and maximum number of endpoints of a model that the fleet planner orders in a failure domain.
struct PoolRecord {
    std::string pool_;
    ModelId model_;
    FailureDomain failureDomain_;
    std::uint32_t minimum_ = 0;
    std::uint32_t maximum_ = 0;
    bool isPreemptible_ = false;
};

} // namespace cowsliphead
