#pragma once

#include "core/instanceid.h"
#include "relay/endpointfailure.h"
#include "relay/endpointload.h"
#include "relay/endpointobservation.h"
#include "relay/retrygrant.h"

namespace cowsliphead
{

/// What all other gateways have placed at each endpoint and learned of them, as last reported.
struct FleetLoad {
    EndpointLoads loads_;
    EndpointObservations observations_{};
    EndpointFailures failures_{};

    /// The relay's process that granted retries, and all that it has granted to this gateway.
    InstanceId grantedBy_{};
    RetryGrants retryGrants_{};
};

} // namespace cowsliphead
