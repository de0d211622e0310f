#pragma once

#include <cstdint>

namespace cowsliphead
{

/// Raised with each change that a gateway of the version before would misread. Gateways of two formats do not understand each other: while both
/// are running, each asks a relay of its own.
inline constexpr std::uint32_t MessageFormat = 3;

} // namespace cowsliphead
