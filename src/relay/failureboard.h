#pragma once

#include <chrono>
#include <map>
#include <utility>

#include "core/time.h"
#include "relay/endpointfailure.h"
#include "relay/loadreporter.h"

namespace cowsliphead
{

/// The recent failures of endpoints that a relay knows. A report replaces what the same reporter reported before of the same failures; a failure
/// is forgotten some time after it was seen. Thread safety: owner task only.
class FailureBoard
{
public:
    /// A gateway of this failure domain reports what it saw, or the relay of another one what its gateways saw.
    void report(const LoadReporter &reporter, const EndpointFailures &failures, MonotonicTime now);

    /// What the gateways of this failure domain saw.
    EndpointFailures domainTotal(MonotonicTime now) const;

    /// What all gateways of the fleet except one saw.
    EndpointFailures fleetWithout(const InstanceId &gateway, MonotonicTime now) const;

private:
    static constexpr std::chrono::seconds Lifetime{ 3 };

    using Key = std::pair<IncarnationKey, EndpointFailureKind>;

    struct Seen {
        EndpointFailure failure_;
        MonotonicTime at_;
    };

    template <typename IsCounted>
    EndpointFailures total(MonotonicTime now, IsCounted isCounted) const;

    std::map<LoadReporter, std::map<Key, Seen>> reports_;
};

} // namespace cowsliphead
