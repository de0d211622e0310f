#pragma once

#include <chrono>
#include <cstdint>
#include <map>

#include "core/failuredomain.h"

namespace cowsliphead
{

/// Limits and prices for ordering a service's endpoints, in each failure domain.
struct ScalingSpec {
    std::uint32_t minReplicas_ = 0;
    std::uint32_t maxReplicas_ = 0;

    /// Time from an order to the first request that the new endpoint serves.
    std::chrono::milliseconds bootTime_{ 0 };

    /// Price of a reclaimable endpoint, as a fraction of the regular price; 1 if the configuration gives none.
    double spotPrice_ = 1.0;
    std::map<FailureDomain, double> prices_;
};

} // namespace cowsliphead
