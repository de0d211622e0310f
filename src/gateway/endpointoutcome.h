#pragma once

#include <chrono>

#include "gateway/attemptend.h"
#include "gateway/dispatchplan.h"

namespace cowsliphead
{

struct GatewayContext;

/// Updates the state of an endpoint from the outcome of a dispatch.
namespace endpointoutcome
{

/// The endpoint sent a complete response that was not streamed. responseTime: since the request was written. target: the target
/// latency; zero for none. Thread safety: the context's task only.
void answered(GatewayContext &context, const EndpointId &endpoint, std::chrono::nanoseconds responseTime, std::chrono::milliseconds target);

/// The endpoint sent a complete response, or more of a stream. Thread safety: the context's task only.
void succeeded(GatewayContext &context, const EndpointId &endpoint);

/// The dispatch ended without a response to forward. isWithheld: the gateway did not write the request. Thread safety: the context's task
/// only.
void failed(GatewayContext &context, const DispatchPlan &plan, AttemptEnd end, bool isWithheld);

} // namespace endpointoutcome

} // namespace cowsliphead
