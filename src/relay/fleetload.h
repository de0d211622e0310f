#pragma once

#include "relay/endpointload.h"

namespace cowsliphead
{

/// What all other gateways have placed at each endpoint, as last reported.
struct FleetLoad {
    EndpointLoads loads_;
};

} // namespace cowsliphead
