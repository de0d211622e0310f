#include "gateway/dispatchplanner.h"

#include <algorithm>

#include "gateway/endpointstate.h"
#include "gateway/requestrouter.h"
#include "http1/callerrequest.h"

namespace cowsliphead
{

namespace
{

/// An endpoint that gave nothing for this many times the route's target is taken for lost, where a request may run again.
constexpr int SilentTargets = 3;

/// Bounds of that time.
constexpr std::chrono::milliseconds ShortestSilence{ 800 };
constexpr std::chrono::milliseconds LongestSilence{ 1700 };

std::string textOf(const SocketAddress &address)
{
    return address.host_ + ":" + std::to_string(address.port_);
}

} // namespace

DispatchPlanner::DispatchPlanner(const CallerRequest &request, const CallerFacts &facts, const AdmittedRequest &admitted, const RequestRouter &router)
    : request_(request)
    , facts_(facts)
    , admitted_(admitted)
    , router_(router)
{
}

DispatchPlan DispatchPlanner::planFor(const EndpointState &endpoint, std::chrono::milliseconds timeLeft, const std::string &lastEventId) const
{
    const auto &route = *admitted_.route_;
    DispatchPlan plan{ .head_ = request_.head_, .body_ = request_.body_, .attemptId_ = facts_.attemptId_ };
    plan.facts_.endpoint_ = endpoint.entry_.id_;
    plan.facts_.priority_ = route.priority_;
    if (admitted_.account_ != nullptr) {
        plan.facts_.account_ = admitted_.account_->id_;
        plan.facts_.priority_ = admitted_.account_->priority_.value_or(route.priority_);
    }
    plan.facts_.timeLeft_ = timeLeft;
    plan.facts_.lastEventId_ = lastEventId.empty() ? facts_.lastEventId_ : lastEventId;
    return plan;
}

DispatchPlan DispatchPlanner::planPrefill(const PrefillChoice &choice, std::chrono::milliseconds timeLeft, const std::string &lastEventId) const
{
    auto plan = planFor(*choice.engine_, timeLeft, lastEventId);
    plan.facts_.isPrefill_ = true;
    plan.promptTokens_ = router_.ownTokens();
    if (choice.source_ != nullptr) {
        plan.facts_.fetchSource_ = textOf(choice.source_->entry_.address_);
    }
    if (!router_.isLastPrefill()) {
        plan.silenceLimit_ = std::max(ShortestSilence, timeLeft / 2);
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
        planReading(plan);
    }
    if (cache) {
        plan.facts_.cacheSource_ = textOf(cache->engine_) + "/" + cache->id_;
    }
    if (route.mayRunAgain()) {
        plan.silenceLimit_ = silenceLimit();
    }
    return plan;
}

/// The engine that answers reads a long prompt too, and takes the shared parts from their home.
void DispatchPlanner::planReading(DispatchPlan &plan) const
{
    if (const auto *home = router_.home()) {
        plan.facts_.fetchSource_ = textOf(home->entry_.address_);
    }
    plan.promptTokens_ = router_.ownTokens();
}

std::chrono::milliseconds DispatchPlanner::silenceLimit() const
{
    return std::clamp(admitted_.route_->targetLatency_ * SilentTargets, ShortestSilence, LongestSilence);
}

} // namespace cowsliphead
