#pragma once

#include "metrics/metricssettings.h"
#include "peer/peersettings.h"
#include "serve/servesettings.h"
#include "store/storesettings.h"
#include "traces/tracesettings.h"

namespace cowsliphead
{

/// All settings of a daemon, checked.
struct DaemonSettings {
    ServeSettings serve_;
    StoreSettings store_;
    PeerSettings peers_;
    MetricsSettings metrics_;
    TraceSettings traces_;
};

} // namespace cowsliphead
