#pragma once

#include "metrics/metricssettings.h"
#include "serve/servesettings.h"
#include "store/storesettings.h"
#include "traces/tracesettings.h"
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
    MetricsSettings metrics_;
    TraceSettings traces_;
};

} // namespace cowsliphead
