#pragma once

#include <vector>

#include "duty/dutysettings.h"
#include "gateway/gatewaysettings.h"
#include "http1/socketaddress.h"
#include "metrics/metricssettings.h"
#include "records/inputerror.h"
#include "relay/relaysettings.h"
#include "traces/tracesettings.h"

namespace cowsliphead
{

/// Settings of a gateway process.
struct GatewayDaemonSettings {
    GatewaySettings gateway_;
    DutySettings duty_;
    MetricsSettings metrics_;
    TraceSettings traces_;
    RelaySettings relay_;

    /// Address of the platform's store.
    SocketAddress store_;

    /// Address of the platform's API for duties.
    SocketAddress platform_;

    /// Bounds of the file that have no meaning and are not in force.
    std::vector<InputError> rejected_;
};

} // namespace cowsliphead
