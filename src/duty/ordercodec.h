#pragma once

#include <string>

#include "core/result.h"
#include "decide/orderintent.h"

namespace cowsliphead::ordercodec
{

/// Encodes an order as the JSON that engines and the platform accept. Thread safety: any thread.
std::string encodeOrder(const Order &order);

/// Errors: CodecMalformed. Thread safety: any thread.
Result<Order> decodeOrder(const std::string &text);

/// Encodes an intent as JSON for the store. Thread safety: any thread.
std::string encodeIntent(const OrderIntent &intent);

/// Errors: CodecMalformed. Thread safety: any thread.
Result<OrderIntent> decodeIntent(const std::string &text);

} // namespace cowsliphead::ordercodec
