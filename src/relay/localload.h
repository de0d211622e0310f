#pragma once

#include "relay/endpointload.h"

namespace cowsliphead
{

/// What this gateway has placed at each endpoint.
struct LocalLoad {
    EndpointLoads loads_;
};

} // namespace cowsliphead
