#pragma once

#include "core/failuredomain.h"
#include "core/instanceid.h"
#include "decide/peeraddress.h"

namespace cowsliphead
{

/// A running gateway, as it describes itself to the other gateways.
struct GatewayMember {
    /// Identifies this run of the process and is never reused.
    InstanceId incarnation_;
    FailureDomain domain_;

    /// Where the gateway answers the queries of other gateways.
    PeerAddress address_;

    auto operator<=>(const GatewayMember &) const = default;
};

} // namespace cowsliphead
