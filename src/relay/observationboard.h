#pragma once

#include <chrono>
#include <map>

#include "core/time.h"
#include "relay/endpointobservation.h"
#include "relay/loadreporter.h"
#include "relay/observationweight.h"

namespace cowsliphead
{

/// The observations that a relay knows. A report replaces what the same reporter reported before of the same endpoints, decays from then on,
/// and counts for nothing after ObservationWeight::Lifetime. Thread safety: owner task only.
class ObservationBoard
{
public:
    /// A gateway of this failure domain reports, or the relay of another one the sum of its gateways.
    void report(const LoadReporter &reporter, const EndpointObservations &observations, MonotonicTime now);

    /// Sum of the gateways of this failure domain.
    EndpointObservations domainTotal(MonotonicTime now);

    /// Sum of all gateways of the fleet except one.
    EndpointObservations fleetWithout(const InstanceId &gateway, MonotonicTime now);

private:
    /// Sums are made anew at this interval, which removes expired reports and rounding errors. In between, a report changes the sums by its
    /// difference to the one before, so that an answer need not add up the reports of all gateways.
    static constexpr std::chrono::seconds RenewInterval{ 1 };

    /// Weights are as of renewedAt_.
    struct Report {
        ObservationWeight weight_;
        MonotonicTime at_;
    };

    struct Endpoint {
        ObservationWeight domain_;
        ObservationWeight fleet_;
        std::map<LoadReporter, Report> reports_;
    };

    void renew(MonotonicTime now);
    static void renewEndpoint(Endpoint &endpoint, double decay, MonotonicTime now);

    std::map<EndpointKey, Endpoint> endpoints_;
    MonotonicTime renewedAt_;
};

} // namespace cowsliphead
