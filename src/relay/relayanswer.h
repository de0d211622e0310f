#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <vector>

#include "relay/crashanswer.h"
#include "relay/endpointfailure.h"
#include "relay/endpointload.h"
#include "relay/endpointobservation.h"
#include "relay/endpointupdate.h"
#include "relay/gatewaymember.h"
#include "relay/relaystatus.h"
#include "relay/retrygrant.h"
#include "relay/textupdate.h"
#include "store/storerevision.h"
#include "usage/countsstored.h"

namespace cowsliphead
{

/// The answer to a RelayQuery.
struct RelayAnswer {
    GatewayMember from_;
    RelayStatus status_;

    /// False from the version before, which knows no eras of the store: its facts may be older than their revisions say.
    bool tellsEras_ = true;

    /// The newest configuration that the answering gateway has; none if it has no configuration.
    StoreRevision configuration_;

    /// When it was last confirmed as the newest one, as time before the answer; absent if it never was.
    std::optional<std::chrono::milliseconds> configurationAge_;

    /// Absent if the asking gateway has the newest ones already.
    std::optional<TextUpdate> configurationUpdate_;
    std::optional<EndpointUpdate> endpointUpdate_;

    /// The revision up to which the answering gateway knows the endpoints.
    StoreRevision endpoints_;

    /// The gateways of the failure domain, if their version differs from the one that the asking gateway has.
    std::uint64_t membersVersion_ = 0;
    std::optional<std::vector<GatewayMember>> members_;

    /// Number of gateways: of the fleet, or of the failure domain if a relay asks; 0 while unknown.
    std::uint64_t gateways_ = 0;

    /// What the gateways of the fleet, the asking one included, have placed at each endpoint; of the failure domain only if a relay asks.
    EndpointLoads loads_;

    /// The counts of the asking gateway that the store holds.
    std::vector<CountsStored> stored_;

    CrashAnswer crashes_;

    /// What changed, since it was sent to the asking gateway last, of the observations of the fleet without that gateway; of the failure domain
    /// if a relay asks.
    EndpointObservations observations_{};

    /// The same of the recent failures.
    EndpointFailures failures_{};

    /// What the answering relay has granted to the asking gateway, for each service that the query named.
    RetryGrants retryGrants_{};
};

} // namespace cowsliphead
