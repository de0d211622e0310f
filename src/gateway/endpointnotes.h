#pragma once

#include <chrono>

#include "gateway/attemptend.h"
#include "gateway/dispatchplan.h"

namespace cowsliphead
{

struct GatewayContext;

/// What the gateway learns of an endpoint from one dispatch.
namespace endpointnotes
{

/// The endpoint began to answer in that time. target: within it, an answer is on time. Thread safety: the context's task only.
void answered(GatewayContext &context, const EndpointId &endpoint, std::chrono::nanoseconds taken, std::chrono::milliseconds target);

/// The endpoint gave a whole answer, or goes on with a stream. Thread safety: the context's task only.
void isWell(GatewayContext &context, const EndpointId &endpoint);

/// The dispatch ended without an answer to pass on. isWithheld: the gateway itself held it back. Thread safety: the context's task only.
void failed(GatewayContext &context, const DispatchPlan &plan, AttemptEnd end, bool isWithheld);

} // namespace endpointnotes

} // namespace cowsliphead
