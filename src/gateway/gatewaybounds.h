#pragma once

#include <chrono>

namespace cowsliphead
{

/// Limits that a gateway guarantees, from its settings file. They may change at run time.
struct GatewayBounds {
    /// How long a withdrawn key may still be used after the store confirmed its withdrawal.
    std::chrono::milliseconds keyWithdrawal_{ 5000 };

    /// How long until a configuration change takes effect after the store confirmed it.
    std::chrono::milliseconds configuration_{ 2000 };

    /// Time from SIGTERM to SIGKILL.
    std::chrono::milliseconds stopGrace_{ 8000 };

    /// Retries that all gateways together may send to a service, for each request to it.
    double retryRatio_ = 0.2;

    /// Additional retries that all gateways together may send in each period.
    double retryReserve_ = 54;
};

} // namespace cowsliphead
