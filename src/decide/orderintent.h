#pragma once

#include "decide/order.h"

namespace cowsliphead
{

/// What the store holds for a target: the newest order, and whether it is known to have been carried out.
struct OrderIntent {
    Order order_;
    bool isDone_ = false;

    bool operator==(const OrderIntent &) const = default;
};

} // namespace cowsliphead
