#pragma once

#include "decide/crashreports.h"
#include "fleet/configurationconfirmed.h"
#include "fleet/fleetsnapshot.h"
#include "fleet/gatewaycount.h"
#include "relay/fleetload.h"
#include "relay/loadquery.h"
#include "relay/localload.h"
#include "task/address.h"
#include "usage/countsstored.h"
#include "usage/membercounts.h"

namespace cowsliphead
{

/// The receivers of the state of the fleet.
struct RelayLinks {
    /// Everybody who uses the configuration and the endpoints.
    Address<FleetSnapshot> snapshots_;
    Address<ConfigurationConfirmed> configurationConfirmations_;
    Address<GatewayCount> gatewayCounts_;

    /// The task that places requests, which answers queries for its load to localLoads_.
    Address<LoadQuery> loadQueries_;
    Address<FleetLoad> loads_;

    /// The task itself.
    Address<LocalLoad> localLoads_;

    /// The duty task: as that of a relay it writes the counts of the failure domain's gateways, and learns which of its own are stored.
    Address<MemberCounts> memberCounts_;
    Address<CountsStored> countsStored_;

    /// The task that dispatches requests: requests that crash endpoints.
    Address<CrashReports> crashReports_;
};

} // namespace cowsliphead
