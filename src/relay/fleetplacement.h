#pragma once

#include "relay/endpointload.h"

namespace cowsliphead
{

/// What all gateways together, including this one, have placed at each endpoint, as last reported.
struct FleetPlacement {
    EndpointLoads loads_;
};

} // namespace cowsliphead
