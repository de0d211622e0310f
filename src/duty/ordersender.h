#pragma once

#include <functional>

#include "core/result.h"
#include "decide/order.h"

namespace cowsliphead
{

/// Sends an order and holds its last byte back until mayAct, asked right before that byte, says yes. An error means that the order
/// may or may not have been carried out; OrderWithheld that it was not.
template <typename T>
concept OrderSender = requires(T &sender, const Order &order, std::function<bool()> mayAct, std::function<void(Result<void>)> reply)
{
    sender.send(order, mayAct, reply);
};

} // namespace cowsliphead
