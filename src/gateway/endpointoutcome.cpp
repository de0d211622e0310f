#include "gateway/endpointoutcome.h"

#include <optional>

#include "gateway/attemptresult.h"
#include "gateway/dispatchplan.h"
#include "gateway/gatewaycontext.h"

namespace cowsliphead::endpointoutcome
{

namespace
{

/// What the failure tells other gateways of the endpoint; nothing for one that may concern only this request or this gateway.
std::optional<EndpointFailureKind> sharedFailure(const AttemptResult &result)
{
    if (result.isReplaced_) {
        return EndpointFailureKind::Replaced;
    }
    if (result.end_ == AttemptEnd::NotOffered && result.failure_ == ConnectionFailure::NotConnected) {
        return EndpointFailureKind::Unreachable;
    }
    if (result.isClosedByEndpoint() && !result.isAnswerBegun_) {
        return EndpointFailureKind::ClosedUnanswered;
    }
    return std::nullopt;
}

const char *nameOf(EndpointFailureKind kind)
{
    switch (kind) {
    case EndpointFailureKind::Unreachable:
        return "unreachable";
    case EndpointFailureKind::ClosedUnanswered:
        return "closed_unanswered";
    case EndpointFailureKind::Replaced:
        break;
    }
    return "replaced";
}

void share(GatewayContext &context, EndpointState &endpoint, const AttemptResult &result, MonotonicTime writtenAt)
{
    const auto now = context.clock_.now();
    if (const auto kind = sharedFailure(result)) {
        context.metrics_.endpointFailures_.increment({ { "kind", nameOf(*kind) } });
        context.endpoints_.sawFailure(endpoint, *kind, now);
    } else if (result.end_ == AttemptEnd::NotExecuted || result.end_ == AttemptEnd::Failed || result.end_ == AttemptEnd::Unproven) {
        context.endpoints_.endAvoidance(endpoint, writtenAt, now);
    }
}

} // namespace

void answered(GatewayContext &context, EndpointState &endpoint, MonotonicTime writtenAt, std::chrono::milliseconds target)
{
    if (target.count() > 0) {
        endpoint.latencyRatio_.addAnswer(context.clock_.now() - writtenAt, target);
    }
    succeeded(context, endpoint, writtenAt);
}

void succeeded(GatewayContext &context, const EndpointState &endpoint, MonotonicTime writtenAt)
{
    if (!context.endpoints_.isReplaced(endpoint)) {
        context.endpoints_.health().answered(endpoint.entry_.id_);
    }
    context.endpoints_.endAvoidance(endpoint, writtenAt, context.clock_.now());
}

void promptRead(GatewayContext &context, const EndpointState &engine, std::uint64_t tokens, MonotonicTime writtenAt)
{
    if (context.usesAdaptiveServing()) {
        const auto now = context.clock_.now();
        context.endpoints_.speeds().promptRead(engine.reportKey_, tokens, now - writtenAt, now);
    }
    succeeded(context, engine, writtenAt);
}

void failed(GatewayContext &context, EndpointState &endpoint, const DispatchPlan &plan, const AttemptResult &result, MonotonicTime writtenAt, bool isWithheld)
{
    const auto &id = plan.metadata_.endpoint_;
    const auto now = context.clock_.now();
    // An endpoint may refuse a request with a KV cache because it cannot fetch the cache, which does not count as a failure of the
    // endpoint.
    const bool isRefusalOfCache = result.end_ == AttemptEnd::NotExecuted && !plan.metadata_.cacheSource_.empty();
    if (context.endpoints_.isReplaced(endpoint)) {
        return;
    }
    if (result.end_ == AttemptEnd::Lost || (result.end_ == AttemptEnd::NotOffered && !isWithheld)) {
        context.endpoints_.health().crashed(id, now);
    } else if (result.end_ == AttemptEnd::NotExecuted && !isRefusalOfCache) {
        context.endpoints_.health().refused(id, now);
    }
    if (context.usesAdaptiveServing() && !isWithheld) {
        share(context, endpoint, result, writtenAt);
        if (!isRefusalOfCache) {
            endpoint.latencyRatio_.addFailure();
        }
    }
}

} // namespace cowsliphead::endpointoutcome
