#pragma once

#include <vector>

#include "core/servicename.h"
#include "decide/scaling/scaleload.h"
#include "fleet/endpointentry.h"
#include "relay/endpointload.h"

namespace cowsliphead
{

/// Returns the load of a service's endpoints, including those that are leaving, whose work others will have to do. Thread safety: any thread.
ScaleLoad scaleLoadOf(const ServiceName &service, const std::vector<EndpointEntry> &endpoints, const EndpointLoads &loads);

} // namespace cowsliphead
