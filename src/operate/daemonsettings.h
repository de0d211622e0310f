#pragma once

#include "serve/servesettings.h"
#include "store/storesettings.h"

namespace cowsliphead
{

/// All settings of a daemon, checked.
struct DaemonSettings {
    ServeSettings serve_;
    StoreSettings store_;
};

} // namespace cowsliphead
