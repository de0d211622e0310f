#pragma once

#include "core/failuredomain.h"
#include "core/instanceid.h"
#include "peer/peersettings.h"
#include "store/storesettings.h"

namespace cowsliphead
{

/// Who the daemon is, and where its records come from.
struct FollowerSettings {
    InstanceId instance_;
    FailureDomain failureDomain_;
    StoreSettings store_;
    PeerSettings peers_;
};

} // namespace cowsliphead
