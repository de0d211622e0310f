#pragma once

#include <cstdint>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "core/endpointid.h"
#include "core/failuredomain.h"
#include "core/time.h"
#include "gateway/endpointstate.h"
#include "gateway/prefillchoice.h"

namespace cowsliphead::placement
{

/// The endpoints that may take a request.
using Candidates = std::vector<EndpointState *>;

/// The one with the least load for its speed; one of the caller's failure domain is preferred where that costs no time.
/// Null without candidates. Thread safety: owner task only.
EndpointState *leastLoaded(const Candidates &candidates, const FailureDomain &home, std::mt19937_64 &random);

/// The engine that reads a prompt. Every gateway ranks the engines alike by the name of the prompt's shared parts, and the first in
/// rank, their home, keeps them cached. Where it has much to read the next one takes the prompt. Each of the two fetches from the other
/// what it lacks of the parts. No engine without candidates. Thread safety: owner task only.
PrefillChoice prefillEngine(const std::string &sharedParts, const Candidates &candidates, std::size_t gateways, MonotonicTime now);

/// The first in rank for these shared parts. Null without candidates. Thread safety: owner task only.
const EndpointState *home(const std::string &sharedParts, const Candidates &candidates);

/// The one with the shortest queue; one of the caller's failure domain is preferred. Null without candidates.
/// Thread safety: owner task only.
EndpointState *shortestQueue(const Candidates &candidates, const FailureDomain &home, std::size_t gateways, MonotonicTime now);

} // namespace cowsliphead::placement
