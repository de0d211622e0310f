#pragma once

#include <chrono>
#include <map>
#include <optional>
#include <tuple>
#include <vector>

#include "core/time.h"
#include "duty/scalebase.h"
#include "duty/serverorder.h"
#include "fleet/fleetsnapshot.h"

namespace cowsliphead
{

/// Decides how many endpoints each service has in each failure domain: base endpoints, and cheaper reclaimable ones in addition. The base
/// is reduced only once the reclaimable endpoints are running, and restored where none are available.
/// Thread safety: all members, on the owner's task only.
class ScalePlanner
{
public:
    /// Returns the orders to send now.
    std::vector<ServerOrder> plan(const FleetSnapshot &fleet, MonotonicTime now);

    /// The platform accepted the order.
    void accepted(const ServerOrder &order, MonotonicTime now);

    /// The platform has no endpoints for the order at the moment; it is sent again after a delay.
    void unavailable(const ServerOrder &order, MonotonicTime now);

    /// No answer came; the order is sent again.
    void unanswered(const ServerOrder &order);

    /// Number of endpoints of each service in each failure domain before any were ordered, as far as known to this planner.
    const ScaleBase &base() const
    {
        return base_;
    }

    /// Merges the base of an earlier planner; the larger of two numbers is kept.
    void restore(const ScaleBase &base);

    /// Discards the state of earlier orders, because another process may have ordered since.
    void reset();

private:
    using EndpointGroup = std::tuple<ServiceName, FailureDomain, bool>;

    struct OrderState {
        std::uint32_t acceptedCount_ = 0;
        MonotonicTime acceptedAt_;

        /// True from the sending of an order until its answer, or until it is known that none will come.
        bool isUnderWay_ = false;
    };

    struct EndpointCounts {
        std::uint32_t base_ = 0;
        std::uint32_t reclaimable_ = 0;
    };

    void planService(const ServiceSpec &service, const std::map<FailureDomain, EndpointCounts> &present, MonotonicTime now, std::vector<ServerOrder> &orders);
    void orderIfDue(const ServerOrder &order, std::uint32_t present, std::chrono::milliseconds bootTime, MonotonicTime now, std::vector<ServerOrder> &orders);

    std::map<EndpointGroup, OrderState> orderStates_;
    std::map<EndpointGroup, MonotonicTime> refusedAt_;

    /// Number of base endpoints when there are no reclaimable ones.
    ScaleBase base_;
};

} // namespace cowsliphead
