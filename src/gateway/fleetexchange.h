#pragma once

namespace cowsliphead
{

struct FleetLoad;
struct GatewayContext;
struct LocalLoad;

/// What this gateway and the others tell each other of endpoints. Beyond the loads only if the configuration uses adaptive serving.
namespace fleetexchange
{

/// What the others are to know of this gateway. Thread safety: the context's task only.
LocalLoad localLoad(GatewayContext &context);

/// Takes what the others have told. Thread safety: the context's task only.
void take(GatewayContext &context, const FleetLoad &load);

} // namespace fleetexchange

} // namespace cowsliphead
