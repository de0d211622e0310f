#pragma once

#include <cstdint>
#include <vector>

#include "decide/crashreports.h"
#include "peer/messagepack.h"

namespace cowsliphead
{

/// Wire form of CrashSighting.
struct WireSighting {
    std::uint64_t endpoint_ = 0;
    std::uint64_t request_ = 0;
    std::vector<std::uint64_t> parts_;
    std::uint32_t heldMilliseconds_ = 0;
    std::uint32_t ageMilliseconds_ = 0;
    bool isRefuted_ = false;

    MSGPACK_DEFINE_ARRAY(endpoint_, request_, parts_, heldMilliseconds_, ageMilliseconds_, isRefuted_)
};

/// Thread safety: any thread.
WireSighting toWire(const CrashSighting &sighting);

/// Thread safety: any thread.
CrashSighting fromWire(const WireSighting &wire);

} // namespace cowsliphead
