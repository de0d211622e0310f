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

/// Decides how many endpoints each service has in each failure domain: a base that stays, and cheaper reclaimable ones above it. The
/// base shrinks only once the reclaimable ones are there, and grows back where they cannot be had.
class ScalePlanner
{
public:
    /// Orders to send now. Thread safety: owner task only.
    std::vector<ServerOrder> plan(const FleetSnapshot &fleet, MonotonicTime now);

    /// The platform took the order. Thread safety: owner task only.
    void accepted(const ServerOrder &order, MonotonicTime now);

    /// The platform has none of these endpoints at the moment. Thread safety: owner task only.
    void unavailable(const ServerOrder &order, MonotonicTime now);

    /// No answer came; the order is sent again. Thread safety: owner task only.
    void unanswered(const ServerOrder &order);

    /// How many endpoints there were in each place before any were ordered, as far as this planner knows. Thread safety: owner task only.
    const ScaleBase &base() const
    {
        return base_;
    }

    /// What an earlier planner knew; the larger figures hold. Thread safety: owner task only.
    void restore(const ScaleBase &base);

    /// Forgets what was ordered: another process may have ordered since. Thread safety: owner task only.
    void reset();

private:
    using Place = std::tuple<ServiceName, FailureDomain, bool>;

    struct Ordered {
        std::uint32_t count_ = 0;
        MonotonicTime at_;
        bool isUnderWay_ = false;
    };

    struct Present {
        std::uint32_t base_ = 0;
        std::uint32_t reclaimable_ = 0;
    };

    void planService(const ServiceSpec &service, const std::map<FailureDomain, Present> &present, MonotonicTime now, std::vector<ServerOrder> &orders);
    void consider(const ServerOrder &order, std::uint32_t present, std::chrono::milliseconds bootTime, MonotonicTime now, std::vector<ServerOrder> &orders);

    std::map<Place, Ordered> ordered_;
    std::map<Place, MonotonicTime> refusedAt_;

    /// To which each place returns without reclaimable endpoints.
    ScaleBase base_;
};

} // namespace cowsliphead
