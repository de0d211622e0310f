#pragma once

namespace cowsliphead
{

struct EndpointEntry;
struct GatewayContext;
struct LifeSign;

/// Takes back crashes of endpoints that went on running.
namespace endpointsurvival
{

/// The incarnation of the endpoint that is listed has shown that it is alive. Thread safety: the context's task only.
void survived(GatewayContext &context, const EndpointEntry &endpoint, const LifeSign &sign);

/// Asks the endpoint whether the incarnation that is listed is alive. Precondition: the context outlives its loop's run. Thread safety: the context's
/// task only.
void verify(GatewayContext &context, const EndpointEntry &endpoint);

} // namespace endpointsurvival

} // namespace cowsliphead
