#pragma once

#include <cstdint>

namespace cowsliphead
{

/// Identifies one run of an endpoint, from its start to its end. A hash, equal at all gateways.
enum class IncarnationKey : std::uint64_t {};

} // namespace cowsliphead
