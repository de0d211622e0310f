#pragma once

#include "duty/dutysettings.h"
#include "gateway/gatewaysettings.h"
#include "http1/socketaddress.h"
#include "metrics/metricssettings.h"

namespace cowsliphead
{

/// The settings file of a gateway process.
struct GatewayDaemonSettings {
    GatewaySettings gateway_;
    DutySettings duty_;
    MetricsSettings metrics_;

    /// The platform's store.
    SocketAddress store_;

    /// The platform's API for duties.
    SocketAddress platform_;
};

} // namespace cowsliphead
