#pragma once

#include <chrono>
#include <cstdint>
#include <map>

#include "core/failuredomain.h"

namespace cowsliphead
{

/// How a service's endpoints may be ordered, in each failure domain.
struct ScalingSpec {
    std::uint32_t minReplicas_ = 0;
    std::uint32_t maxReplicas_ = 0;

    /// From an order to the first request that a new endpoint serves.
    std::chrono::milliseconds bootTime_{ 0 };

    /// Price of a reclaimable endpoint, as a share of the usual one's; absent where none can be ordered.
    double spotPrice_ = 1.0;
    std::map<FailureDomain, double> prices_;
};

} // namespace cowsliphead
