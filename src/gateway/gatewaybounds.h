#pragma once

#include <chrono>

namespace cowsliphead
{

/// The promises that a gateway keeps, as its settings file gives them. They may change while it runs.
struct GatewayBounds {
    /// A withdrawn key may be used for this long after the store confirmed its withdrawal.
    std::chrono::milliseconds keyWithdrawal_{ 5000 };

    /// A change of the configuration is in force this long after the store confirmed it.
    std::chrono::milliseconds configuration_{ 2000 };

    /// From SIGTERM to SIGKILL.
    std::chrono::milliseconds stopGrace_{ 8000 };

    /// Retries that all gateways may send to a service, for each request to it.
    double retryRatio_ = 0.2;

    /// Retries beyond those, in each period, for all gateways together.
    double retryReserve_ = 54;
};

} // namespace cowsliphead
