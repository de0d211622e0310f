#include "standin/engineorders.h"

#include <algorithm>

namespace cowsliphead
{

EngineOrders::EngineOrders(bool checksFencing)
    : checksFencing_(checksFencing)
{
}

bool EngineOrders::take(const Order &order)
{
    if (checksFencing_ && order.fencing_ < newest_) {
        return false;
    }
    newest_ = std::max(newest_, order.fencing_);
    carriedOut_.push_back(order);
    return true;
}

const std::vector<Order> &EngineOrders::carriedOut() const
{
    return carriedOut_;
}

} // namespace cowsliphead
