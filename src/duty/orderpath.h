#pragma once

namespace cowsliphead
{

/// Where an engine takes orders.
constexpr const char *OrderPath = "/v1/orders";

} // namespace cowsliphead
