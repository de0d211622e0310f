#pragma once

#include "fleet/configurationconfirmed.h"
#include "fleet/fleetsnapshot.h"
#include "fleet/gatewaycount.h"
#include "relay/fleetload.h"
#include "relay/loadquery.h"
#include "relay/localload.h"
#include "task/address.h"

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
};

} // namespace cowsliphead
