#pragma once

#include <cstdint>

#include "core/servicename.h"

namespace cowsliphead
{

/// One of the services among which a route's requests are split, with its weight.
struct RouteShare {
    ServiceName service_;
    std::uint32_t weight_ = 1;
};

} // namespace cowsliphead
