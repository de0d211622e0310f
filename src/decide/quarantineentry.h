#pragma once

#include <chrono>
#include <set>

#include "core/endpointid.h"
#include "core/requestdigest.h"

namespace cowsliphead
{

/// What one daemon tells another about a request. It contains no time point, since clocks differ between daemons.
struct QuarantineEntry {
    RequestDigest digest_;

    /// The endpoints that crashed with the request in flight.
    std::set<EndpointId> crashed_;
    bool isQuarantined_ = false;

    /// How much longer the entry is valid.
    std::chrono::milliseconds remaining_{ 0 };
};

} // namespace cowsliphead
