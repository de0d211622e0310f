#pragma once

#include <chrono>
#include <cstdint>

#include "core/time.h"

namespace cowsliphead
{

struct AttemptResult;
struct DispatchPlan;
struct EndpointState;
struct GatewayContext;

/// Updates the state of an endpoint from the outcome of a dispatch.
namespace endpointoutcome
{

/// The endpoint sent a complete response that was not streamed. writtenAt: when the request was written. target: the target latency; zero for
/// none. Thread safety: the context's task only.
void answered(GatewayContext &context, EndpointState &endpoint, MonotonicTime writtenAt, std::chrono::milliseconds target);

/// The endpoint sent a complete response, or more of a stream. writtenAt: when the request was written. Thread safety: the context's task only.
void succeeded(GatewayContext &context, const EndpointState &endpoint, MonotonicTime writtenAt);

/// The engine answered that it has read a prompt. tokens: what it had yet to read when the prompt was written at writtenAt. Thread safety: the
/// context's task only.
void promptRead(GatewayContext &context, const EndpointState &engine, std::uint64_t tokens, MonotonicTime writtenAt);

/// The dispatch to the endpoint ended without a response to forward. writtenAt: when the request was written, if it was. isWithheld: the gateway
/// did not write the request. Thread safety: the context's task only.
void failed(GatewayContext &context, EndpointState &endpoint, const DispatchPlan &plan, const AttemptResult &result, MonotonicTime writtenAt, bool isWithheld);

} // namespace endpointoutcome

} // namespace cowsliphead
