#pragma once

#include "fleet/fleetsnapshot.h"
#include "fleet/lookconfirmed.h"
#include "task/address.h"

namespace cowsliphead
{

/// The receivers of what the registry reads.
struct RegistryLinks {
    Address<FleetSnapshot> snapshots_;
    Address<FleetSnapshot> dutySnapshots_;
    Address<LookConfirmed> configurationConfirmations_;
};

} // namespace cowsliphead
