#pragma once

#include <cstdint>
#include <map>
#include <utility>

#include "core/failuredomain.h"
#include "core/servicename.h"

namespace cowsliphead
{

/// Planned number of endpoints of each service in each failure domain, both kinds together.
using ScalePlan = std::map<std::pair<ServiceName, FailureDomain>, std::uint32_t>;

} // namespace cowsliphead
