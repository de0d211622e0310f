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

bool EngineOrders::take(const Order &order)
{
    if (checksFencing_ && order.fencing_ < newest_) {
        return false;
    }
    newest_ = std::max(newest_, order.fencing_);
    carriedOut_.push_back(order);
    return true;
}

void EngineOrders::handle(const HttpRequest &request, HttpResponder &responder)
{
    const auto order = ordercodec::decodeOrder(request.body_);
    const int refused = order ? httpstatus::Conflict : httpstatus::BadRequest;
    const bool isTaken = order && take(*order);
    responder.reply(HttpResponseHead{ isTaken ? httpstatus::Ok : refused, { { "Content-Type", "application/json" } } }, "{}");
}

const std::vector<Order> &EngineOrders::executedOrders() const
{
    return carriedOut_;
}

} // namespace cowsliphead
