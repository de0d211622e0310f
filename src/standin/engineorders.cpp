#include "standin/engineorders.h"

#include <algorithm>

#include "duty/ordercodec.h"
#include "http/httprequest.h"
#include "http/httpresponder.h"
#include "http/httpstatus.h"

namespace cowsliphead
{

EngineOrders::EngineOrders(bool checksFencing)
    : checksFencing_(checksFencing)
{
}

bool EngineOrders::execute(const Order &order)
{
    if (checksFencing_ && order.fencing_ < newestFencing_) {
        return false;
    }
    newestFencing_ = std::max(newestFencing_, order.fencing_);
    executedOrders_.push_back(order);
    return true;
}

void EngineOrders::handle(const HttpRequest &request, HttpResponder &responder)
{
    const auto order = ordercodec::decodeOrder(request.body_);
    const int refusalStatus = order ? httpstatus::Conflict : httpstatus::BadRequest;
    const bool isExecuted = order && execute(*order);
    responder.reply(HttpResponseHead{ isExecuted ? httpstatus::Ok : refusalStatus, { { "Content-Type", "application/json" } } }, "{}");
}

const std::vector<Order> &EngineOrders::executedOrders() const
{
    return executedOrders_;
}

} // namespace cowsliphead
