#pragma once

#include <string>

#include "core/result.h"
#include "decide/orderintent.h"

namespace cowsliphead::ordercodec
{

/// The order as engines and the platform take it. Thread safety: any thread.
std::string encodeOrder(const Order &order);

/// Errors: CodecMalformed. Thread safety: any thread.
Result<Order> decodeOrder(const std::string &text);

/// Thread safety: any thread.
std::string encodeIntent(const OrderIntent &intent);

/// Errors: CodecMalformed. Thread safety: any thread.
Result<OrderIntent> decodeIntent(const std::string &text);

} // namespace cowsliphead::ordercodec
