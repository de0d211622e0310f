#pragma once

#include <optional>

#include "decide/orderintent.h"
#include "decide/orderstep.h"

namespace cowsliphead
{

/// The next step towards what is wanted. An intent that an earlier planner left open is written again under the new number, so
/// that it is finished or superseded and never contradicted. Precondition: current and wanted have the same target, and the
/// wanted order has the planner's fencing number. Thread safety: any thread.
OrderStep nextOrderStep(const std::optional<OrderIntent> &current, const Order &wanted);

/// The intent that follows the current one. Precondition: nextOrderStep() says Write. Thread safety: any thread.
OrderIntent nextIntent(const std::optional<OrderIntent> &current, Order wanted);

} // namespace cowsliphead
