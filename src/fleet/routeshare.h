#pragma once

#include <cstdint>

#include "core/servicename.h"

namespace cowsliphead
{

/// One of the services that share a route's requests.
struct RouteShare {
    ServiceName service_;
    std::uint32_t weight_ = 1;
};

} // namespace cowsliphead
