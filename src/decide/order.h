#pragma once

#include <cstdint>
#include <string>

#include "decide/fencingnumber.h"
#include "decide/orderaction.h"

namespace cowsliphead
{

/// An order to an engine, or to the platform for a place in a pool.
struct Order {
    /// The engine's endpoint, or the pool and the place in it.
    std::string target_;
    OrderAction action_ = OrderAction::LoadModel;

    /// The version, the role or the model that the order is about.
    std::string subject_;

    /// The planner's fencing number.
    FencingNumber fencing_ = 0;

    /// Increases with each new order to the target; an order that is sent again keeps its number.
    std::uint64_t sequence_ = 0;

    bool operator==(const Order &) const = default;
};

} // namespace cowsliphead
