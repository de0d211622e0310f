#pragma once

#include "core/failuredomain.h"
#include "core/instanceid.h"
#include "gateway/gatewaybounds.h"
#include "http1/socketaddress.h"

namespace cowsliphead
{

/// What a gateway is told at its start.
struct GatewaySettings {
    InstanceId instance_;
    FailureDomain domain_;

    /// Where callers connect.
    SocketAddress callers_;

    /// Where the balancer asks whether to send callers here.
    SocketAddress readiness_;

    GatewayBounds bounds_;

    /// Each request gives spans.
    bool isTraced_ = false;
};

} // namespace cowsliphead
