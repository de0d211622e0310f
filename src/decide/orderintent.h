#pragma once

#include "decide/order.h"

namespace cowsliphead
{

/// What stands in the store for a target: the newest order, and whether it is known to be carried out.
struct OrderIntent {
    Order order_;
    bool isDone_ = false;

    bool operator==(const OrderIntent &) const = default;
};

} // namespace cowsliphead
