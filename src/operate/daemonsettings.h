#pragma once

#include "metrics/metricssettings.h"
#include "serve/servesettings.h"
#include "store/storesettings.h"
#include "traces/tracesettings.h"

namespace cowsliphead
{

/// All settings of a daemon, checked.
struct DaemonSettings {
    ServeSettings serve_;
    StoreSettings store_;
    MetricsSettings metrics_;
    TraceSettings traces_;
};

} // namespace cowsliphead
