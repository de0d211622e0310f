#pragma once

#include <cstdint>
#include <vector>

#include "core/result.h"
#include "peer/messagepack.h"
#include "relay/endpointfailure.h"
#include "relay/wire/wiremilliseconds.h"

namespace cowsliphead
{

/// Wire form of EndpointFailure.
struct WireFailure {
    std::uint64_t endpoint_ = 0;
    std::uint8_t kind_ = 0;
    std::uint32_t gateways_ = 0;
    std::uint32_t ageMilliseconds_ = 0;

    MSGPACK_DEFINE_ARRAY(endpoint_, kind_, gateways_, ageMilliseconds_)
};

/// Thread safety: any thread.
inline WireFailure toWire(const EndpointFailure &failure)
{
    return { static_cast<std::uint64_t>(failure.endpoint_), static_cast<std::uint8_t>(failure.kind_), failure.gateways_, millisecondsToWire(failure.age_) };
}

/// Precondition: the kind is one of EndpointFailureKind. Thread safety: any thread.
inline EndpointFailure fromWire(const WireFailure &wire)
{
    return { IncarnationKey(wire.endpoint_), EndpointFailureKind(wire.kind_), wire.gateways_, std::chrono::milliseconds(wire.ageMilliseconds_) };
}

/// Errors: CodecMalformed for unknown kinds, failures that no gateway saw, failures out of order, and duplicates. Thread safety: any thread.
Result<EndpointFailures> failuresFromWire(const std::vector<WireFailure> &wire);

} // namespace cowsliphead
