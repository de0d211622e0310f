#pragma once

#include "fleet/configurationconfirmed.h"
#include "fleet/fleetsnapshot.h"
#include "task/address.h"

namespace cowsliphead
{

/// Who hears what the registry reads.
struct RegistryLinks {
    Address<FleetSnapshot> snapshots_;
    Address<FleetSnapshot> dutySnapshots_;
    Address<ConfigurationConfirmed> looks_;
};

} // namespace cowsliphead
