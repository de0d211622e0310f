#pragma once

#include <algorithm>
#include <chrono>
#include <cstdint>

#include "peer/messagepack.h"
#include "relay/endpointlease.h"

namespace cowsliphead
{

/// Wire form of EndpointLease.
struct WireLease {
    EndpointKey endpoint_ = 0;
    std::uint64_t remainingMilliseconds_ = 0;

    MSGPACK_DEFINE_ARRAY(endpoint_, remainingMilliseconds_)
};

/// Thread safety: any thread.
inline WireLease toWire(const EndpointLease &lease)
{
    return { lease.endpoint_, static_cast<std::uint64_t>(lease.remaining_.count()) };
}

/// Thread safety: any thread.
inline EndpointLease fromWire(const WireLease &wire)
{
    const auto remaining = std::min<std::uint64_t>(wire.remainingMilliseconds_, EndpointLease::MaxRemaining.count());
    return { wire.endpoint_, std::chrono::milliseconds(remaining) };
}

} // namespace cowsliphead
