#pragma once

#include <cstdint>
#include <string>

#include "core/failuredomain.h"
#include "core/modelid.h"

namespace cowsliphead
{

/// How many endpoints of a model the fleet planner may order in a failure domain.
struct PoolRecord {
    std::string pool_;
    ModelId model_;
    FailureDomain failureDomain_;
    std::uint32_t minimum_ = 0;
    std::uint32_t maximum_ = 0;
    bool isPreemptible_ = false;
};

} // namespace cowsliphead
