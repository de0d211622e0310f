#include "gateway/dispatchplanner.h"

#include <algorithm>

#include "gateway/endpointstate.h"
#include "gateway/requestrouter.h"
#include "http1/callerrequest.h"

namespace cowsliphead
{

namespace
{

/// A dispatch counts as lost after this many times the route's target latency without data, if the request may run again.
constexpr int NoDataTargetFactor = 3;

/// Limits of this timeout.
constexpr std::chrono::milliseconds MinNoDataTimeout{ 800 };
constexpr std::chrono::milliseconds MaxNoDataTimeout{ 1700 };

std::string textOf(const SocketAddress &address)
{
    return address.host_ + ":" + std::to_string(address.port_);
}

} // namespace

DispatchPlanner::DispatchPlanner(const CallerRequest &request, const RequestMetadata &metadata, const AdmittedRequest &admitted, const RequestRouter &router)
    : request_(request)
    , metadata_(metadata)
    , admitted_(admitted)
    , router_(router)
{
}

DispatchPlan DispatchPlanner::planFor(const EndpointState &endpoint, std::chrono::milliseconds timeLeft, const std::string &lastEventId) const
{
    const auto &route = *admitted_.route_;
    DispatchPlan plan{ .head_ = request_.head_, .body_ = request_.body_, .attemptId_ = metadata_.attemptId_ };
    plan.metadata_.endpoint_ = endpoint.entry_.id_;
    plan.metadata_.priority_ = route.priority_;
    if (admitted_.account_ != nullptr) {
        plan.metadata_.account_ = admitted_.account_->id_;
        plan.metadata_.priority_ = admitted_.account_->priority_.value_or(route.priority_);
    }
    plan.metadata_.timeLeft_ = timeLeft;
    plan.metadata_.lastEventId_ = lastEventId.empty() ? metadata_.lastEventId_ : lastEventId;
    return plan;
}

DispatchPlan DispatchPlanner::planPrefill(const PrefillChoice &choice, std::chrono::milliseconds timeLeft, const std::string &lastEventId) const
{
    auto plan = planFor(*choice.engine_, timeLeft, lastEventId);
    plan.metadata_.isPrefill_ = true;
    plan.ownTokens_ = router_.ownTokens();
    plan.promptTokens_ = router_.expectedReading();
    plan.expected_ = choice.expected_;
    if (choice.source_ != nullptr) {
        plan.metadata_.fetchSource_ = textOf(choice.source_->entry_.address_);
    }
    if (!router_.isLastPrefill()) {
        plan.noDataTimeout_ = std::max(MinNoDataTimeout, timeLeft / 2);
    }
    return plan;
}

DispatchPlan DispatchPlanner::planRun(const EndpointState &endpoint,
                                      std::chrono::milliseconds timeLeft,
                                      const std::string &lastEventId,
                                      const std::optional<CacheHandle> &cache) const
{
    const auto &route = *admitted_.route_;
    auto plan = planFor(endpoint, timeLeft, lastEventId);
    plan.isStream_ = route.kind_ == RouteKind::Streaming;
    plan.needsNewConnection_ = !route.mayRunAgain();
    if (router_.readsPromptItself(cache.has_value())) {
        setPrefillFields(plan);
    }
    if (cache) {
        plan.metadata_.cacheSource_ = textOf(cache->engine_) + "/" + cache->id_;
    }
    if (route.mayRunAgain()) {
        plan.noDataTimeout_ = noDataTimeout();
    }
    return plan;
}

/// The endpoint reads a long prompt itself, and fetches the shared parts from their primary engine.
void DispatchPlanner::setPrefillFields(DispatchPlan &plan) const
{
    if (const auto *primary = router_.primaryEngine()) {
        plan.metadata_.fetchSource_ = textOf(primary->entry_.address_);
    }
    plan.ownTokens_ = router_.ownTokens();
    plan.promptTokens_ = router_.expectedReading();
}

std::chrono::milliseconds DispatchPlanner::noDataTimeout() const
{
    return std::clamp(admitted_.route_->targetLatency_ * NoDataTargetFactor, MinNoDataTimeout, MaxNoDataTimeout);
}

} // namespace cowsliphead
