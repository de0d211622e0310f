#pragma once

#include <chrono>

#include "core/failuredomain.h"
#include "core/instanceid.h"
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

    /// A withdrawn key may be used for this long after the store confirmed its withdrawal.
    std::chrono::milliseconds keyWithdrawalBound_{ 5000 };

    /// A change of the configuration is in force this long after the store confirmed it.
    std::chrono::milliseconds configurationBound_{ 2000 };

    /// From SIGTERM to SIGKILL.
    std::chrono::milliseconds stopGrace_{ 8000 };

    /// Retries that all gateways may send to a service, for each request to it.
    double retryRatio_ = 0.2;

    /// Retries beyond those, in each period, for all gateways together.
    double retryReserve_ = 54;
};

} // namespace cowsliphead
