#pragma once

#include <cstdint>

#include "core/failuredomain.h"
#include "decide/scaling/endpointcounts.h"

namespace cowsliphead
{

/// What the plan of a service takes into account of a failure domain.
struct ScaleDomain {
    FailureDomain domain_;

    /// Price of a base endpoint.
    double price_ = 1.0;

    /// Base endpoints before any were ordered.
    std::uint32_t original_ = 0;
    EndpointCounts present_;

    /// False after the platform refused reclaimable endpoints, until it grants some.
    bool hasReclaimable_ = true;
};

} // namespace cowsliphead
