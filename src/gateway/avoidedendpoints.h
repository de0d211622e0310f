#pragma once

#include <map>
#include <memory>
#include <random>
#include <set>

#include "core/endpointid.h"
#include "core/time.h"
#include "decide/endpointavoidance.h"
#include "gateway/placement.h"

namespace cowsliphead
{

/// The listed endpoints that get no requests because several gateways saw them fail. Logs when an endpoint begins and ends to be avoided. Thread
/// safety: the loop's task only.
class AvoidedEndpoints
{
public:
    using States = std::map<EndpointId, std::shared_ptr<EndpointState>>;

    /// This gateway saw the endpoint fail. Call update() after it.
    void sawFailure(const EndpointState &state, EndpointFailureKind kind, MonotonicTime now);

    /// The endpoint answered a request of this gateway that was written at askedAt. Call update() after it.
    void answered(const EndpointState &state, MonotonicTime askedAt);

    /// Replaces what the other gateways have seen. Call update() after it.
    void setFailuresOfOthers(const EndpointFailures &failures, MonotonicTime now);

    /// What this gateway has seen and the others are to know.
    EndpointFailures ownFailures(MonotonicTime now) const;

    /// Decides again which of the listed endpoints are avoided. Failures count for two seconds: call it several times a second.
    void update(const States &states, MonotonicTime now);

    /// Returns the candidates that are not avoided. One in ten requests that would go to an avoided one, with all of them equally likely, gets one
    /// of these as well, which shows whether it has recovered.
    placement::Candidates withoutAvoided(const placement::Candidates &candidates);

    bool contains(const EndpointState &state) const;

private:
    EndpointAvoidance avoidance_;

    /// The identifiers are for logs.
    std::map<IncarnationKey, EndpointId> avoided_;
    std::mt19937_64 random_{ std::random_device()() };
};

} // namespace cowsliphead
