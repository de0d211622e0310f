#pragma once

#include <cstdint>
#include <vector>

#include "decide/scaling/scaledomain.h"
#include "decide/scaling/scalelimits.h"
#include "decide/scaling/scaletarget.h"

namespace cowsliphead
{

/// Returns the target of each failure domain, in the order of the domains, so that the loss of all reclaimable endpoints of any one of them
/// leaves as many endpoints as needed, if the limits allow it. Thread safety: any thread.
std::vector<ScaleTarget> scaleTargets(std::uint32_t needed, const std::vector<ScaleDomain> &domains, const ScaleLimits &limits);

} // namespace cowsliphead
