#pragma once

#include <vector>

#include "fleet/endpointregistration.h"

namespace cowsliphead
{

/// What one reader of the store knows of all endpoints as of a revision: an endpoint that is not listed has no entry.
struct EndpointList {
    StoreRevision revision_;
    std::vector<EndpointRegistration> registrations_;
};

} // namespace cowsliphead
