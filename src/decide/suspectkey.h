#pragma once

#include <cstdint>

namespace cowsliphead
{

/// Identifies what may make endpoints crash: a request by its content, or a part of prompts that different requests share. A hash, equal at
/// all gateways.
enum class SuspectKey : std::uint64_t {};

} // namespace cowsliphead
