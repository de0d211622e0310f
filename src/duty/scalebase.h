#pragma once

#include <cstdint>
#include <map>
#include <utility>

#include "core/failuredomain.h"
#include "core/servicename.h"

namespace cowsliphead
{

/// Number of endpoints of each service in each failure domain before any endpoints were ordered.
using ScaleBase = std::map<std::pair<ServiceName, FailureDomain>, std::uint32_t>;

} // namespace cowsliphead
