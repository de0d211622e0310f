#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <utility>
#include <vector>

#include "core/time.h"
#include "decide/scaling/scaledomain.h"
#include "decide/scaling/scaleneed.h"
#include "decide/scaling/scaletargets.h"
#include "duty/scaleplan.h"
#include "duty/serverorder.h"
#include "fleet/servicespec.h"

namespace cowsliphead
{

/// Plans the endpoints of services by measured need. The plan grows at once and shrinks slowly; base endpoints are given up only against
/// reclaimable ones that run, and restored where none are available.
/// Thread safety: all members, on the owner's task only.
class NeedPlanner
{
public:
    /// The load of a service, as reported by all gateways.
    void addLoad(const ServiceName &service, const ScaleLoad &load, MonotonicTime now);

    /// Returns the wanted number of endpoints of each kind in each domain. Precondition: the service has a scaling entry.
    std::vector<ServerOrder> plan(const ServiceSpec &service, const std::vector<ScaleDomain> &domains, const StageCounts &stages, MonotonicTime now);

    /// Returns the planned numbers, which the next holder of the duty continues from.
    const ScalePlan &planned() const
    {
        return planned_;
    }

    /// Returns the endpoints needed by the last known load of the service; zero if none was reported yet.
    std::uint32_t needed(const ServiceName &service) const;

    /// Returns the planned number of a domain, both kinds together; zero for a service that is not planned by need.
    std::uint32_t plannedOf(const ServiceName &service, const FailureDomain &domain) const;

    /// Replaces the planned numbers by stored ones.
    void restore(const ScalePlan &planned);

    /// Forgets loads and plans, because another process may have planned since.
    void reset();

private:
    struct ServiceState {
        ScaleNeed need_;
        std::uint32_t needed_ = 0;

        /// The load was known for a whole window, so that the plan may go below the original number of endpoints.
        bool hasCoveredNeed_ = false;
    };

    struct DomainState {
        MonotonicTime changedAt_;

        /// Base endpoints to have at present, including those that stand in for reclaimable ones.
        std::uint32_t base_ = 0;
    };

    using Place = std::pair<ServiceName, FailureDomain>;

    /// Moves the planned number of a domain towards the target. isCovered: the load is known for long enough to shrink.
    void adjust(const Place &place, std::uint32_t target, bool isCovered, MonotonicTime now);

    /// Returns the base endpoints to have now. target: those to have once all reclaimable ones run.
    std::uint32_t presentBase(const Place &place, const ScaleDomain &domain, std::uint32_t target);

    std::map<ServiceName, ServiceState> services_;
    std::map<Place, DomainState> domains_;
    ScalePlan planned_;
};

} // namespace cowsliphead
