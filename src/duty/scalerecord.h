#pragma once

#include "duty/scalebase.h"
#include "duty/scaleplan.h"

namespace cowsliphead
{

/// What the next holder of the duty needs in order to go on with the plan.
struct ScaleRecord {
    ScaleBase base_;

    /// Only of services that are planned by need.
    ScalePlan planned_;

    bool operator==(const ScaleRecord &) const = default;
};

} // namespace cowsliphead
