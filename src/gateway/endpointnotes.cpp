#include "gateway/endpointnotes.h"

#include "gateway/gatewaycontext.h"

namespace cowsliphead::endpointnotes
{

void answered(GatewayContext &context, const EndpointId &endpoint, std::chrono::nanoseconds taken, std::chrono::milliseconds target)
{
    const auto state = context.endpoints_.find(endpoint);
    if (state && target.count() > 0) {
        state->lateness_.answered(taken, target);
    }
    isWell(context, endpoint);
}

void isWell(GatewayContext &context, const EndpointId &endpoint)
{
    context.endpoints_.health().answered(endpoint);
}

void failed(GatewayContext &context, const DispatchPlan &plan, AttemptEnd end, bool isWithheld)
{
    const auto &endpoint = plan.facts_.endpoint_;
    const auto now = context.clock_.now();
    // A refusal of a request that brings its KV cache may mean that the cache cannot be fetched.
    const bool bringsCache = !plan.facts_.cacheSource_.empty();
    if (end == AttemptEnd::Lost || (end == AttemptEnd::NotOffered && !isWithheld)) {
        context.endpoints_.health().crashed(endpoint, now);
    } else if (end == AttemptEnd::NotExecuted && !bringsCache) {
        context.endpoints_.health().refused(endpoint, now);
    }
}

} // namespace cowsliphead::endpointnotes
