#pragma once

#include "relay/endpointfailure.h"
#include "relay/endpointload.h"
#include "relay/endpointobservation.h"
#include "relay/retrydeposit.h"

namespace cowsliphead
{

/// What this gateway has placed at each endpoint, and what it has learned of them.
struct LocalLoad {
    EndpointLoads loads_;

    /// Empty unless the configuration uses adaptive serving; this holds for the following members as well.
    EndpointObservations observations_{};
    EndpointFailures failures_{};
    RetryDeposits retryDeposits_{};

    /// The pool that keeps unused retries holds at most this many of each service in this failure domain.
    double retryPoolLimit_ = 0;
};

} // namespace cowsliphead
