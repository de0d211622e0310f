#pragma once

#include "core/failuredomain.h"
#include "core/instanceid.h"
#include "peer/peersettings.h"
#include "store/storesettings.h"

namespace cowsliphead
{

/// Identity of the daemon, and the store and peers from which it gets its records.
struct FollowerSettings {
    InstanceId instance_;
    FailureDomain failureDomain_;
    StoreSettings store_;
    PeerSettings peers_;
};

} // namespace cowsliphead
