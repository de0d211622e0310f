#pragma once

#include <optional>

#include "decide/orderintent.h"
#include "decide/orderstep.h"

namespace cowsliphead
{

/// Returns the next step towards the wanted order. An unfinished intent of an earlier planner is written again under the new fencing
/// number, so that it is completed or superseded and never contradicted. Precondition: current and wanted have the same target, and
/// the wanted order has the planner's fencing number. Thread safety: any thread.
OrderStep nextOrderStep(const std::optional<OrderIntent> &current, const Order &wanted);

/// Returns the intent that replaces the current one. Precondition: nextOrderStep() returned Write. Thread safety: any thread.
OrderIntent nextIntent(const std::optional<OrderIntent> &current, Order wanted);

} // namespace cowsliphead
