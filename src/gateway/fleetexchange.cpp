#include "gateway/fleetexchange.h"

#include "gateway/gatewaycontext.h"
#include "relay/fleetload.h"
#include "relay/localload.h"

namespace cowsliphead::fleetexchange
{

LocalLoad localLoad(GatewayContext &context)
{
    LocalLoad load{ context.endpoints_.localLoads() };
    const auto now = context.clock_.now();
    // Without answers of a relay, this is what ends the avoidance of endpoints in time.
    context.endpoints_.updateAvoidance(now);
    if (context.usesAdaptiveServing()) {
        load.observations_ = context.endpoints_.speeds().observations(now);
        load.failures_ = context.endpoints_.avoided().ownFailures(now);
    }
    return load;
}

void take(GatewayContext &context, const FleetLoad &load)
{
    const auto now = context.clock_.now();
    context.endpoints_.setLoadOfOthers(load.loads_, now);
    if (context.usesAdaptiveServing()) {
        context.endpoints_.speeds().setObservationsOfOthers(load.observations_, now);
        context.endpoints_.setFailuresOfOthers(load.failures_, now);
    }
}

} // namespace cowsliphead::fleetexchange
