#pragma once

#include <cstdint>
#include <map>
#include <utility>

#include "core/failuredomain.h"
#include "core/servicename.h"

namespace cowsliphead
{

/// How many endpoints each service had in each failure domain before any were ordered.
using ScaleBase = std::map<std::pair<ServiceName, FailureDomain>, std::uint32_t>;

} // namespace cowsliphead
