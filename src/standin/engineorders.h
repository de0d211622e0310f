#pragma once

#include <vector>

#include "decide/order.h"

namespace cowsliphead
{

class HttpResponder;
struct HttpRequest;

/// Executes the orders sent to an engine and records them. Depending on the kind of engine, the fencing number is checked or ignored.
/// Thread safety: owner task only.
class EngineOrders
{
public:
    /// checksFencing: whether orders with an outdated fencing number are refused.
    explicit EngineOrders(bool checksFencing);

    /// Executes the order. Returns false if it is refused for its fencing number.
    bool execute(const Order &order);

    /// Handles an order sent over HTTP. Replies 200 if it was executed, 409 if it is refused, 400 if it is malformed.
    void handle(const HttpRequest &request, HttpResponder &responder);

    /// The executed orders, oldest first.
    const std::vector<Order> &executedOrders() const;

private:
    bool checksFencing_;
    FencingNumber newestFencing_ = 0;
    std::vector<Order> executedOrders_;
};

} // namespace cowsliphead
