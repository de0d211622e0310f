#pragma once

#include <cstdint>

namespace cowsliphead
{

/// A short form of an endpoint's identifier, for messages between gateways and for hashing.
using EndpointKey = std::uint32_t;

} // namespace cowsliphead
