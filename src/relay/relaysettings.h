#pragma once

#include <chrono>
#include <optional>

#include "core/failuredomain.h"
#include "decide/peeraddress.h"

namespace cowsliphead
{

/// Settings of the task that follows the state of the fleet.
struct RelaySettings {
    FailureDomain domain_;

    /// Where this gateway answers other gateways; port 0 selects a free port. Without it, the gateway neither asks other gateways nor
    /// answers them, and reads the store itself.
    std::optional<PeerAddress> address_;

    /// How long an endpoint may still be used after the store confirmed that it leaves.
    std::chrono::milliseconds endpointLeaveBound_{ 2000 };
};

} // namespace cowsliphead
