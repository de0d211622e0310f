#pragma once

#include <cstddef>
#include <optional>

#include "core/failuredomain.h"
#include "core/instanceid.h"
#include "gateway/bufferlimit.h"
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

    /// Limit for the bytes that all connections buffer together.
    std::size_t bufferLimit_ = bufferLimitOf(std::nullopt);

    /// Create spans for each request.
    bool isTraced_ = false;
};

} // namespace cowsliphead
