#pragma once

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <limits>

namespace cowsliphead
{

/// Returns a duration as sent in messages; one that cannot be represented becomes the nearest one that can. Thread safety: any thread.
inline std::uint32_t millisecondsToWire(std::chrono::milliseconds duration)
{
    return static_cast<std::uint32_t>(std::clamp<std::int64_t>(duration.count(), 0, std::numeric_limits<std::uint32_t>::max()));
}

} // namespace cowsliphead
