#pragma once

#include <chrono>

#include "duty/dutysettings.h"
#include "gateway/gatewaysettings.h"
#include "http1/socketaddress.h"
#include "metrics/metricssettings.h"
#include "traces/tracesettings.h"

namespace cowsliphead
{

/// The settings file of a gateway process.
struct GatewayDaemonSettings {
    GatewaySettings gateway_;
    DutySettings duty_;
    MetricsSettings metrics_;
    TraceSettings traces_;

    /// The platform's store.
    SocketAddress store_;

    /// The platform's API for duties.
    SocketAddress platform_;

    /// An endpoint may be used for so long after the store confirmed that it leaves.
    std::chrono::milliseconds endpointLeaveBound_{ 2000 };
};

} // namespace cowsliphead
