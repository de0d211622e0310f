#include "duty/scaleplanner.h"

#include <algorithm>

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

} // namespace

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
        std::map<FailureDomain, EndpointCounts> present;
        for (const auto &endpoint : *fleet.endpoints_) {
            if (endpoint.service_ != name) {
                continue;
            }
            auto &counts = present[endpoint.domain_];
            if (!endpoint.isLeaving_) {
                ++(endpoint.isReclaimable_ ? counts.reclaimable_ : counts.base_);
            }
        }
        planService(service, present, now, orders);
    }
    return orders;
}

void ScalePlanner::planService(const ServiceSpec &service,
                               const std::map<FailureDomain, EndpointCounts> &present,
                               MonotonicTime now,
                               std::vector<ServerOrder> &orders)
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
    orderStates_[{ order.service_, order.domain_, order.isReclaimable_ }] = OrderState{ order.count_, now, false };
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

void ScalePlanner::reset()
{
    orderStates_.clear();
    refusedAt_.clear();
}

} // namespace cowsliphead
