#pragma once

#include "fleet/configurationconfirmed.h"
#include "fleet/fleetsnapshot.h"
#include "task/address.h"

namespace cowsliphead
{

/// The receivers of what the registry reads.
struct RegistryLinks {
    Address<FleetSnapshot> snapshots_;
    Address<FleetSnapshot> dutySnapshots_;
    Address<ConfigurationConfirmed> configurationConfirmations_;
};

} // namespace cowsliphead
