#pragma once

#include <vector>

#include "decide/order.h"

namespace cowsliphead
{

class HttpResponder;
struct HttpRequest;

/// The orders that an engine has carried out. One kind of engine refuses an order with an old fencing number, another ignores it.
class EngineOrders
{
public:
    explicit EngineOrders(bool checksFencing);

    /// Carries the order out; false if it is refused. Thread safety: owner task only.
    bool take(const Order &order);

    /// Takes an order as it comes over HTTP: 200 once it is carried out, 409 if it is refused. Thread safety: owner task only.
    void handle(const HttpRequest &request, HttpResponder &responder);

    /// In the order in which they were carried out. Thread safety: owner task only.
    const std::vector<Order> &executedOrders() const;

private:
    bool checksFencing_;
    FencingNumber newest_ = 0;
    std::vector<Order> carriedOut_;
};

} // namespace cowsliphead
