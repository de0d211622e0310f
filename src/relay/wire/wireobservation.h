#pragma once

#include <cstdint>
#include <vector>

#include "core/result.h"
#include "peer/messagepack.h"
#include "relay/endpointobservation.h"
#include "relay/wire/wiremilliseconds.h"

namespace cowsliphead
{

/// Wire form of EndpointObservation.
struct WireObservation {
    EndpointKey endpoint_ = 0;
    std::uint64_t tokensRead_ = 0;
    std::uint32_t readingMilliseconds_ = 0;

    MSGPACK_DEFINE_ARRAY(endpoint_, tokensRead_, readingMilliseconds_)
};

/// Thread safety: any thread.
inline WireObservation toWire(const EndpointObservation &observation)
{
    return { observation.endpoint_, observation.tokensRead_, millisecondsToWire(observation.readingTime_) };
}

/// Thread safety: any thread.
inline EndpointObservation fromWire(const WireObservation &wire)
{
    return { wire.endpoint_, wire.tokensRead_, std::chrono::milliseconds(wire.readingMilliseconds_) };
}

/// Errors: CodecMalformed for observations out of order or duplicates. Thread safety: any thread.
Result<EndpointObservations> observationsFromWire(const std::vector<WireObservation> &wire);

} // namespace cowsliphead
