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

/// Share of occupied decode slots below which decode engines can read long prompts besides their streams.
inline constexpr double IdleDecodeOccupancy = 0.35;

/// Wait above which a prefill engine counts as overloaded.
inline constexpr std::chrono::milliseconds BusyPrefillWait{ 200 };

/// The endpoints to choose from.
using Candidates = std::vector<EndpointState *>;

/// Returns the endpoint with the lowest load relative to its speed, preferring localDomain unless another domain's load is much lower. Ties
/// are broken at random. Null without candidates. Thread safety: owner task only.
EndpointState *leastLoaded(const Candidates &candidates, const FailureDomain &localDomain, MonotonicTime now, std::mt19937_64 &random);

/// Tokens of all gateways' prompts that an engine has yet to read. Where the load of the other gateways is not known, each of the gateways is
/// taken to have sent as much as this one. Thread safety: owner task only.
std::uint64_t queuedTokens(const EndpointState &state, std::size_t gateways, MonotonicTime now);

/// Requests of all gateways that an endpoint is processing, estimated as for queuedTokens(). Thread safety: owner task only.
std::uint32_t runningRequests(const EndpointState &state, std::size_t gateways, MonotonicTime now);

/// Estimates how long a prompt that is sent now waits at an engine. Thread safety: owner task only.
std::chrono::milliseconds prefillWait(const EndpointState &state, std::size_t gateways, MonotonicTime now);

/// Chooses the engine that reads a prompt, by rendezvous hashing of the prompt's shared parts: all gateways get the same ranking, and the
/// first engine, the primary, keeps the parts cached. If its queue is long, the second engine reads the prompt. Each of the two fetches
/// missing parts from the other. No engine without candidates. Thread safety: owner task only.
PrefillChoice prefillEngine(const std::string &sharedParts, const Candidates &candidates, std::size_t gateways, MonotonicTime now);

/// Returns the first engine in the ranking for these shared parts. Null without candidates. Thread safety: owner task only.
const EndpointState *primaryEngine(const std::string &sharedParts, const Candidates &candidates);

/// Returns the engine with the shortest queue, preferring localDomain. Null without candidates. Thread safety: owner task only.
EndpointState *shortestQueue(const Candidates &candidates, const FailureDomain &localDomain, std::size_t gateways, MonotonicTime now);

} // namespace cowsliphead::placement
