#pragma once

#include "peer/peersettings.h"
#include "serve/servesettings.h"
#include "store/storesettings.h"

namespace cowsliphead
{

/// All settings of a daemon, checked.
struct DaemonSettings {
    ServeSettings serve_;
    StoreSettings store_;
    PeerSettings peers_;
};

} // namespace cowsliphead
