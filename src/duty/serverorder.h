#pragma once

#include <compare>
#include <cstdint>

#include "core/failuredomain.h"
#include "core/servicename.h"

namespace cowsliphead
{

/// Desired number of endpoints of one kind, reclaimable or not, that a service has in a failure domain.
struct ServerOrder {
    ServiceName service_;
    FailureDomain domain_;

    /// True for cheaper endpoints that the platform may reclaim at short notice; they are counted separately.
    bool isReclaimable_ = false;
    std::uint32_t count_ = 0;

    auto operator<=>(const ServerOrder &) const = default;
};

} // namespace cowsliphead
