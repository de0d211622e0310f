#pragma once

#include "core/failuredomain.h"
#include "core/instanceid.h"
#include "gateway/gatewaybounds.h"
#include "http1/socketaddress.h"

namespace cowsliphead
{

/// Settings of the gateway task.
struct GatewaySettings {
    InstanceId instance_;
    FailureDomain domain_;

    /// Address for callers.
    SocketAddress callers_;

    /// Address for the load balancer's readiness probe.
    SocketAddress readiness_;

    GatewayBounds bounds_;

    /// Create spans for each request.
    bool isTraced_ = false;
};

} // namespace cowsliphead
