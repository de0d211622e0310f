#pragma once

#include "serve/servesettings.h"
#include "store/storesettings.h"
#include "usage/platformsettings.h"
#include "usage/usagesettings.h"

namespace cowsliphead
{

/// All settings of a daemon, checked.
struct DaemonSettings {
    ServeSettings serve_;
    StoreSettings store_;
    UsageSettings usage_;
    PlatformSettings platform_;
};

} // namespace cowsliphead
