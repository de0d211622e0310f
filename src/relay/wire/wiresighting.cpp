#include "relay/wire/wiresighting.h"

#include <algorithm>
#include <chrono>
#include <iterator>

namespace cowsliphead
{

WireSighting toWire(const CrashSighting &sighting)
{
    WireSighting wire{ static_cast<std::uint64_t>(sighting.endpoint_),     static_cast<std::uint64_t>(sighting.request_),     {},
                       static_cast<std::uint32_t>(sighting.held_.count()), static_cast<std::uint32_t>(sighting.age_.count()), sighting.isRefuted_ };
    std::transform(
        sighting.parts_.begin(), sighting.parts_.end(), std::back_inserter(wire.parts_), [](SuspectKey part) { return static_cast<std::uint64_t>(part); });
    return wire;
}

CrashSighting fromWire(const WireSighting &wire)
{
    CrashSighting sighting{ IncarnationKey(wire.endpoint_),
                            SuspectKey(wire.request_),
                            {},
                            std::chrono::milliseconds(wire.heldMilliseconds_),
                            std::chrono::milliseconds(wire.ageMilliseconds_),
                            wire.isRefuted_ };
    std::transform(wire.parts_.begin(), wire.parts_.end(), std::back_inserter(sighting.parts_), [](std::uint64_t part) { return SuspectKey(part); });
    return sighting;
}

} // namespace cowsliphead
