#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "relay/crashquery.h"
#include "relay/endpointfailure.h"
#include "relay/endpointload.h"
#include "relay/endpointobservation.h"
#include "relay/gatewaymember.h"
#include "relay/retrydeposit.h"
#include "relay/textversion.h"
#include "usage/membercounts.h"

namespace cowsliphead
{

/// A gateway's query to the relay of its failure domain, or a relay's query to the relay of another one. It may be lost or arrive twice.
struct RelayQuery {
    GatewayMember from_;

    /// The sender is the relay of another failure domain and asks only for the load there.
    bool isFromRelay_ = false;

    /// The sender's process is stopping.
    bool isLeaving_ = false;

    /// The relay that the sender cannot use.
    std::optional<PeerAddress> unusableRelay_;

    /// The versions that the sender has of the configuration and of the list of endpoints.
    TextVersion configuration_;
    TextVersion endpoints_;

    /// The relay whose list of members the sender has, and its version.
    InstanceId membersOf_;
    std::uint64_t members_ = 0;

    /// What the sender has placed at each endpoint.
    EndpointLoads loads_;

    /// Requests that the sender has counted and that the relay does not have yet.
    std::vector<MemberCounts> counts_{};

    CrashQuery crashes_{};

    /// What changed of the sender's observations since it sent them last.
    EndpointObservations observations_{};

    /// All recent failures that the sender saw.
    EndpointFailures failures_{};

    /// What the sender has deposited with the asked relay.
    RetryDeposits retryDeposits_{};
};

} // namespace cowsliphead
