#pragma once

#include <functional>

#include "core/result.h"
#include "decide/order.h"

namespace cowsliphead
{

/// Sends an order, and its last byte only if mayAct, called right before that byte is written, returns true. On an error the order
/// may or may not have been carried out, except for OrderWithheld: then it was not.
template <typename T>
concept OrderSender = requires(T &sender, const Order &order, std::function<bool()> mayAct, std::function<void(Result<void>)> reply)
{
    sender.send(order, mayAct, reply);
};

} // namespace cowsliphead
