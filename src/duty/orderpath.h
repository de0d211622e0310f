#pragma once

namespace cowsliphead
{

/// HTTP path at which an engine accepts orders.
constexpr const char *OrderPath = "/v1/orders";

} // namespace cowsliphead
