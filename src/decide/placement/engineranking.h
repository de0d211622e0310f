#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

#include "decide/placement/enginecandidate.h"

namespace cowsliphead
{

/// The order of the engines for these shared parts, as indexes, by rendezvous hashing weighted by the cube root of the speed. All gateways get nearly the
/// same order, and an engine that comes or goes moves only its own parts. Thread safety: any thread.
std::vector<std::size_t> rankEngines(std::uint64_t sharedParts, const std::vector<EngineCandidate> &engines);
} // namespace cowsliphead
