#include "gateway/endpointoutcome.h"

#include "gateway/gatewaycontext.h"

namespace cowsliphead::endpointoutcome
{

void answered(GatewayContext &context, const EndpointId &endpoint, std::chrono::nanoseconds responseTime, std::chrono::milliseconds target)
{
    const auto state = context.endpoints_.find(endpoint);
    if (state && target.count() > 0) {
        state->latencyRatio_.addAnswer(responseTime, target);
    }
    succeeded(context, endpoint);
}

void succeeded(GatewayContext &context, const EndpointId &endpoint)
{
    context.endpoints_.health().answered(endpoint);
}

void failed(GatewayContext &context, const DispatchPlan &plan, AttemptEnd end, bool isWithheld)
{
    const auto &endpoint = plan.metadata_.endpoint_;
    const auto now = context.clock_.now();
    // An endpoint may refuse a request with a KV cache because it cannot fetch the cache, which does not count as a failure of the
    // endpoint.
    const bool hasCacheSource = !plan.metadata_.cacheSource_.empty();
    if (end == AttemptEnd::Lost || (end == AttemptEnd::NotOffered && !isWithheld)) {
        context.endpoints_.health().crashed(endpoint, now);
    } else if (end == AttemptEnd::NotExecuted && !hasCacheSource) {
        context.endpoints_.health().refused(endpoint, now);
    }
}

} // namespace cowsliphead::endpointoutcome
