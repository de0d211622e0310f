#pragma once

#include <chrono>
#include <cstddef>
#include <map>
#include <optional>

#include "core/failuredomain.h"
#include "core/instanceid.h"
#include "core/time.h"
#include "relay/endpointload.h"

namespace cowsliphead
{

/// The loads that a relay knows: those of each gateway of its failure domain, and the sums of other failure domains. Loads that are not
/// reported again expire, since requests of a gateway that has ended no longer run. Thread safety: owner task only.
class LoadBoard
{
public:
    /// A gateway of this failure domain reports its load.
    void reportGateway(const InstanceId &gateway, EndpointLoads loads, MonotonicTime now);

    /// The relay of another failure domain reports the sum of its gateways and their number.
    void reportDomain(const FailureDomain &domain, EndpointLoads loads, std::size_t gateways, MonotonicTime now);

    /// Sum of the gateways of this failure domain.
    EndpointLoads domainTotal(MonotonicTime now) const;

    /// Sum of all gateways of the fleet.
    EndpointLoads fleetTotal(MonotonicTime now) const;

    /// Number of gateways in another failure domain; nothing if its relay has not reported for a while. A failure domain that is cut off is
    /// counted until then, since its gateways still serve.
    std::optional<std::size_t> gatewaysIn(const FailureDomain &domain, MonotonicTime now) const;

private:
    static constexpr std::chrono::milliseconds LoadLifetime{ 1000 };
    static constexpr std::chrono::seconds CountLifetime{ 30 };

    struct GatewayReport {
        EndpointLoads loads_;
        MonotonicTime at_;
    };

    struct DomainReport {
        EndpointLoads loads_;
        std::size_t gateways_ = 0;
        MonotonicTime at_;
    };

    std::map<InstanceId, GatewayReport> gateways_;
    std::map<FailureDomain, DomainReport> domains_;
};

} // namespace cowsliphead
