#pragma once

#include <vector>

#include "decide/order.h"

namespace cowsliphead
{

/// The orders that an engine has carried out. One kind of engine refuses an order with an old fencing number, another ignores it.
class EngineOrders
{
public:
    explicit EngineOrders(bool checksFencing);

    /// Carries the order out; false if it is refused. Thread safety: owner task only.
    bool take(const Order &order);

    /// In the order in which they were carried out. Thread safety: owner task only.
    const std::vector<Order> &carriedOut() const;

private:
    bool checksFencing_;
    FencingNumber newest_ = 0;
    std::vector<Order> carriedOut_;
};

} // namespace cowsliphead
