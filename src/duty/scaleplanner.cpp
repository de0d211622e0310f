#include "duty/scaleplanner.h"

#include <algorithm>
#include <utility>

#include "duty/servicescaleload.h"

namespace cowsliphead
{

namespace
{

/// Base endpoints kept in each failure domain, in case all reclaimable ones are reclaimed.
constexpr std::uint32_t MinBaseEndpoints = 2;

/// Failure domains with at most this many endpoints keep one base endpoint.
constexpr std::uint32_t SmallDomain = 3;

/// Reclaimable endpoints per endpoint of the original base; more than one, because the money saved by reducing the base pays for more of them.
constexpr double ReclaimablePerBase = 2.5;

/// Highest price of reclaimable endpoints, as a share of the regular price, at which they are worth the risk of losing them.
constexpr double MaxSpotPriceRatio = 0.6;

/// Time from a refusal by the platform until the order is sent again.
constexpr std::chrono::milliseconds RefusalRetryDelay{ 2500 };

/// Time that an endpoint may take, in addition to its boot time, until it is listed; after that the order is sent again.
constexpr std::chrono::milliseconds ListingTimeout{ 6000 };

std::uint32_t keptBase(std::uint32_t original)
{
    return original <= SmallDomain ? 1 : MinBaseEndpoints;
}

bool isPlannedByNeed(const ServiceSpec &service)
{
    return service.scaling_ && service.engine_ && service.engine_->hasCompactCache();
}

} // namespace

void ScalePlanner::addLoads(const FleetSnapshot &fleet, const EndpointLoads &loads, MonotonicTime now)
{
    if (!fleet.configuration_ || !fleet.endpoints_) {
        return;
    }
    for (const auto &[name, service] : fleet.configuration_->services_) {
        if (isPlannedByNeed(service)) {
            needPlanner_.addLoad(name, scaleLoadOf(name, *fleet.endpoints_, loads), now);
        }
    }
}

std::vector<ServerOrder> ScalePlanner::plan(const FleetSnapshot &fleet, MonotonicTime now)
{
    std::vector<ServerOrder> orders;
    if (!fleet.configuration_ || !fleet.endpoints_) {
        return orders;
    }
    for (const auto &[name, service] : fleet.configuration_->services_) {
        if (!service.scaling_) {
            continue;
        }
        DomainCounts present;
        StageCounts stages;
        for (const auto &endpoint : *fleet.endpoints_) {
            if (endpoint.service_ != name) {
                continue;
            }
            auto &counts = present[endpoint.domain_];
            if (!endpoint.isLeaving_) {
                ++(endpoint.isReclaimable_ ? counts.reclaimable_ : counts.base_);
                ++(endpoint.stage_ == EngineStage::Prefill ? stages.prefill_ : stages.decode_);
            }
        }
        if (isPlannedByNeed(service)) {
            planByNeed(service, std::move(present), stages, now, orders);
        } else {
            planService(service, present, now, orders);
        }
    }
    return orders;
}

void ScalePlanner::planService(const ServiceSpec &service, const DomainCounts &present, MonotonicTime now, std::vector<ServerOrder> &orders)
{
    const auto &scaling = *service.scaling_;
    if (scaling.spotPrice_ > MaxSpotPriceRatio) {
        return;
    }
    for (const auto &[domain, counts] : present) {
        auto &original = base_[{ service.name_, domain }];
        original = std::max(original, counts.base_);
        const auto kept = keptBase(original);
        if (original <= kept || scaling.maxReplicas_ <= kept) {
            continue;
        }
        const auto wanted = std::min(static_cast<std::uint32_t>(original * ReclaimablePerBase), scaling.maxReplicas_ - kept);
        orderIfDue({ service.name_, domain, true, wanted }, counts.reclaimable_, scaling.bootTime_, now, orders);
        const auto base = original - std::min(original, counts.reclaimable_);
        orderIfDue({ service.name_, domain, false, std::max(base, kept) }, counts.base_, scaling.bootTime_, now, orders);
    }
}

void ScalePlanner::planByNeed(const ServiceSpec &service, DomainCounts present, const StageCounts &stages, MonotonicTime now, std::vector<ServerOrder> &orders)
{
    const auto &scaling = *service.scaling_;
    if (scaling.spotPrice_ > MaxSpotPriceRatio) {
        return;
    }
    for (const auto &[place, count] : base_) {
        if (place.first == service.name_) {
            // A domain that has lost all its endpoints gets new ones.
            present.try_emplace(place.second);
        }
    }
    std::vector<ScaleDomain> domains;
    for (const auto &[name, counts] : present) {
        auto &original = base_[{ service.name_, name }];
        original = std::max(original, counts.base_);
        if (scaling.maxReplicas_ <= keptBase(original)) {
            continue;
        }
        const auto price = scaling.prices_.find(name);
        const bool hasReclaimable = !refusedAt_.contains({ service.name_, name, true });
        domains.push_back({ name, price == scaling.prices_.end() ? 1.0 : price->second, original, counts, hasReclaimable });
    }
    for (const auto &order : needPlanner_.plan(service, domains, stages, now)) {
        const auto &counts = present[order.domain_];
        orderIfDue(order, order.isReclaimable_ ? counts.reclaimable_ : counts.base_, scaling.bootTime_, now, orders);
    }
}

void ScalePlanner::orderIfDue(
    const ServerOrder &order, std::uint32_t present, std::chrono::milliseconds bootTime, MonotonicTime now, std::vector<ServerOrder> &orders)
{
    const EndpointGroup group{ order.service_, order.domain_, order.isReclaimable_ };
    auto &state = orderStates_[group];
    const auto refused = refusedAt_.find(group);
    const bool isWithinRetryDelay = refused != refusedAt_.end() && now - refused->second < RefusalRetryDelay;
    const bool isRecent = state.acceptedCount_ == order.count_ && now - state.acceptedAt_ < bootTime + ListingTimeout;
    if (state.isUnderWay_ || isWithinRetryDelay || present == order.count_ || isRecent) {
        return;
    }
    state.isUnderWay_ = true;
    orders.push_back(order);
}

void ScalePlanner::accepted(const ServerOrder &order, MonotonicTime now)
{
    const EndpointGroup group{ order.service_, order.domain_, order.isReclaimable_ };
    orderStates_[group] = OrderState{ order.count_, now, false };
    refusedAt_.erase(group);
}

void ScalePlanner::unavailable(const ServerOrder &order, MonotonicTime now)
{
    const EndpointGroup group{ order.service_, order.domain_, order.isReclaimable_ };
    orderStates_[group].isUnderWay_ = false;
    refusedAt_[group] = now;
}

void ScalePlanner::unanswered(const ServerOrder &order)
{
    orderStates_[{ order.service_, order.domain_, order.isReclaimable_ }].isUnderWay_ = false;
}

void ScalePlanner::restore(const ScaleBase &base)
{
    for (const auto &[key, count] : base) {
        auto &known = base_[key];
        known = std::max(known, count);
    }
}

void ScalePlanner::restore(const ScaleRecord &record)
{
    restore(record.base_);
    needPlanner_.restore(record.planned_);
}

void ScalePlanner::reset()
{
    needPlanner_.reset();
    orderStates_.clear();
    refusedAt_.clear();
}

} // namespace cowsliphead
