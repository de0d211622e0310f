#include "duty/scaleplanner.h"

#include <algorithm>

namespace cowsliphead
{

namespace
{

/// Endpoints that stay in each failure domain, whatever is reclaimed.
constexpr std::uint32_t LeastBase = 2;

/// Reclaimable endpoints for each one of the original base: what is saved on the base pays for more of them.
constexpr double ReclaimableShare = 1.67;

/// Reclaimable endpoints are worth the risk of their loss below this share of the usual price.
constexpr double WorthwhilePrice = 0.6;

/// After a refusal, the platform is asked again after this time.
constexpr std::chrono::milliseconds RefusalPause{ 2500 };

/// Beyond the time to start, what an endpoint may take until it is listed; then the order is sent again.
constexpr std::chrono::milliseconds ListingTime{ 6000 };

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
        std::map<FailureDomain, Present> present;
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

void ScalePlanner::planService(const ServiceSpec &service, const std::map<FailureDomain, Present> &present, MonotonicTime now, std::vector<ServerOrder> &orders)
{
    const auto &scaling = *service.scaling_;
    if (scaling.spotPrice_ > WorthwhilePrice) {
        return;
    }
    for (const auto &[domain, counts] : present) {
        auto &original = base_[{ service.name_, domain }];
        original = std::max(original, counts.base_);
        if (original <= LeastBase) {
            continue;
        }
        const auto wanted = std::min(static_cast<std::uint32_t>(original * ReclaimableShare), scaling.maxReplicas_ - LeastBase);
        consider({ service.name_, domain, true, wanted }, counts.reclaimable_, scaling.bootTime_, now, orders);
        const auto base = original - std::min(original, counts.reclaimable_);
        consider({ service.name_, domain, false, std::max(base, LeastBase) }, counts.base_, scaling.bootTime_, now, orders);
    }
}

void ScalePlanner::consider(
    const ServerOrder &order, std::uint32_t present, std::chrono::milliseconds bootTime, MonotonicTime now, std::vector<ServerOrder> &orders)
{
    const Place place{ order.service_, order.domain_, order.isReclaimable_ };
    auto &ordered = ordered_[place];
    const auto refused = refusedAt_.find(place);
    const bool isPausing = refused != refusedAt_.end() && now - refused->second < RefusalPause;
    const bool isRecent = ordered.count_ == order.count_ && now - ordered.at_ < bootTime + ListingTime;
    if (ordered.isUnderWay_ || isPausing || present == order.count_ || isRecent) {
        return;
    }
    ordered.isUnderWay_ = true;
    orders.push_back(order);
}

void ScalePlanner::accepted(const ServerOrder &order, MonotonicTime now)
{
    ordered_[{ order.service_, order.domain_, order.isReclaimable_ }] = Ordered{ order.count_, now, false };
}

void ScalePlanner::unavailable(const ServerOrder &order, MonotonicTime now)
{
    const Place place{ order.service_, order.domain_, order.isReclaimable_ };
    ordered_[place].isUnderWay_ = false;
    refusedAt_[place] = now;
}

void ScalePlanner::unanswered(const ServerOrder &order)
{
    ordered_[{ order.service_, order.domain_, order.isReclaimable_ }].isUnderWay_ = false;
}

void ScalePlanner::restore(const ScaleBase &base)
{
    for (const auto &[place, count] : base) {
        auto &known = base_[place];
        known = std::max(known, count);
    }
}

void ScalePlanner::reset()
{
    ordered_.clear();
    refusedAt_.clear();
}

} // namespace cowsliphead
