#pragma once

#include <cstddef>

#include "core/time.h"
#include "gateway/placement.h"

namespace cowsliphead::endpointroom
{

/// True if the requests of all gateways in flight at a plain endpoint leave room for another one. Where the load of the other gateways is not
/// known, each of the gateways is taken to have placed as much as this one. Thread safety: owner task only.
bool hasRoom(const EndpointState &state, std::size_t gateways, MonotonicTime now);

/// True if hasRoom() is based on a report that cannot have missed a change for long, or on this gateway's requests alone. Thread safety: owner
/// task only.
bool isCertain(const EndpointState &state, MonotonicTime now);

/// Returns the candidates that have room, or all if none has. Thread safety: owner task only.
placement::Candidates withRoom(placement::Candidates candidates, std::size_t gateways, MonotonicTime now);

} // namespace cowsliphead::endpointroom
