#include "gateway/endpointsurvival.h"

#include "decide/lifesign.h"
#include "fleet/endpointentry.h"
#include "gateway/gatewaycontext.h"
#include "logs/log.h"

namespace cowsliphead::endpointsurvival
{

void survived(GatewayContext &context, const EndpointEntry &endpoint, const LifeSign &sign)
{
    if (context.crashes_.isEmpty()) {
        return;
    }
    const auto refuted = context.crashes_.survived(sign, context.clock_.now());
    if (refuted > 0) {
        logEvent(LogEvent::EndpointSurvived,
                 { { "endpoint", endpoint.id_.value() },
                   { "incarnation", endpoint.incarnation_ },
                   { "evidence", sign.openedAt_ ? "open_connection" : "named_incarnation" },
                   { "refutedCrashes", std::uint64_t(refuted) } });
        context.crashesChanged();
    }
}

void verify(GatewayContext &context, const EndpointEntry &endpoint)
{
    context.crashVerifier_.verify(endpoint, [&context, endpoint](const LifeSign &sign) { survived(context, endpoint, sign); });
}

} // namespace cowsliphead::endpointsurvival
