#pragma once

#include <chrono>
#include <cstdint>

#include "decide/crashreports.h"
#include "peer/messagepack.h"

namespace cowsliphead
{

/// Wire form of CrashClearance.
struct WireClearance {
    std::uint64_t suspect_ = 0;
    std::uint32_t ageMilliseconds_ = 0;

    MSGPACK_DEFINE_ARRAY(suspect_, ageMilliseconds_)
};

/// Thread safety: any thread.
inline WireClearance toWire(const CrashClearance &clearance)
{
    return { static_cast<std::uint64_t>(clearance.suspect_), static_cast<std::uint32_t>(clearance.age_.count()) };
}

/// Thread safety: any thread.
inline CrashClearance fromWire(const WireClearance &wire)
{
    return { SuspectKey(wire.suspect_), std::chrono::milliseconds(wire.ageMilliseconds_) };
}

} // namespace cowsliphead
