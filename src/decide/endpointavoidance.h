#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

#include "core/time.h"
#include "decide/incarnationkey.h"
#include "relay/endpointfailure.h"

namespace cowsliphead
{

/// Decides which incarnations of endpoints get no requests for now, from the failures that this gateway and the others have seen. Thread safety:
/// owner task only.
class EndpointAvoidance
{
public:
    /// This gateway saw the endpoint fail.
    void sawFailure(IncarnationKey endpoint, EndpointFailureKind kind, MonotonicTime now);

    /// The endpoint answered a request of this gateway that was written at askedAt; failures seen before no longer count here. Those seen while
    /// the request ran go on counting: the answer may have been on its way already.
    void answered(IncarnationKey endpoint, MonotonicTime askedAt);

    /// Replaces what the other gateways have seen.
    void setFailuresOfOthers(const EndpointFailures &failures, MonotonicTime now);

    /// What this gateway has seen and the others are to know.
    EndpointFailures ownFailures(MonotonicTime now) const;

    /// Returns those of the endpoints that are to be avoided: two gateways could not use them, or one found another incarnation in their place. At
    /// most half of them for what other gateways saw, those with the latest reports. Precondition: the endpoints are all of one service and stage.
    std::set<IncarnationKey> avoidedOf(const std::vector<IncarnationKey> &endpoints, MonotonicTime now) const;

    /// True if no failure is known.
    bool isEmpty() const;

private:
    using FailureKey = std::pair<IncarnationKey, EndpointFailureKind>;

    struct Sighting {
        MonotonicTime at_;
        std::uint32_t gateways_ = 1;
    };

    using Sightings = std::map<FailureKey, Sighting>;

    static const Sighting *recent(const Sightings &sightings, FailureKey key, MonotonicTime now);

    /// When the last of the failures was seen for which the endpoint is avoided; nothing if it is not.
    std::optional<MonotonicTime> avoidedSince(IncarnationKey endpoint, MonotonicTime now) const;
    bool sawReplaced(IncarnationKey endpoint, MonotonicTime now) const;

    Sightings own_;
    Sightings others_;

    /// Endpoints that answered although others saw them fail, and when they were asked.
    std::map<IncarnationKey, MonotonicTime> askedAt_;
};

} // namespace cowsliphead
