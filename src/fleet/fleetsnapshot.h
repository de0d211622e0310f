#pragma once

#include <memory>
#include <vector>

#include "fleet/configuration.h"
#include "fleet/endpointentry.h"

namespace cowsliphead
{

/// The configuration in force and the endpoints to use, as last read from the store.
struct FleetSnapshot {
    std::shared_ptr<const Configuration> configuration_;
    std::shared_ptr<const std::vector<EndpointEntry>> endpoints_;
};

} // namespace cowsliphead
