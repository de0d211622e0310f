#pragma once

#include <cstdint>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "core/endpointid.h"
#include "core/failuredomain.h"
#include "gateway/endpointstate.h"

namespace cowsliphead::placement
{

/// The endpoints that may take a request.
using Candidates = std::vector<EndpointState *>;

/// The one with the least load for its speed; one of the caller's failure domain is preferred where that costs no time.
/// Null without candidates. Thread safety: owner task only.
EndpointState *leastLoaded(const Candidates &candidates, const FailureDomain &home, std::mt19937_64 &random);

/// The engine that has the shared parts of a prompt in its cache: every gateway ranks the engines alike by the parts' name, and
/// one that has more to read than its rank is worth gives way to the next. Null without candidates. Thread safety: owner task only.
EndpointState *holderOf(const std::string &sharedParts, const Candidates &candidates);

} // namespace cowsliphead::placement
