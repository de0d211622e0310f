#pragma once

#include <chrono>

#include "duty/dutysettings.h"
#include "gateway/gatewaysettings.h"
#include "http1/socketaddress.h"
#include "metrics/metricssettings.h"
#include "traces/tracesettings.h"

namespace cowsliphead
{

/// Settings of a gateway process.
struct GatewayDaemonSettings {
    GatewaySettings gateway_;
    DutySettings duty_;
    MetricsSettings metrics_;
    TraceSettings traces_;

    /// Address of the platform's store.
    SocketAddress store_;

    /// Address of the platform's API for duties.
    SocketAddress platform_;

    /// How long an endpoint may still be used after the store confirmed that it leaves.
    std::chrono::milliseconds endpointLeaveBound_{ 2000 };
};

} // namespace cowsliphead
