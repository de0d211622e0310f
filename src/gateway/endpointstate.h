#pragma once

#include <cstdint>
#include <deque>
#include <memory>

#include "fleet/endpointentry.h"
#include "gateway/latencyratio.h"
#include "gateway/prefillqueue.h"

namespace cowsliphead
{

class ClientConnection;

/// This gateway's state of an endpoint.
struct EndpointState {
    EndpointEntry entry_;

    /// Requests of this gateway that the endpoint is processing.
    std::uint32_t running_ = 0;

    /// Prompts of this gateway that the endpoint has yet to read.
    PrefillQueue prefillQueue_;
    LatencyRatio latencyRatio_;

    /// Idle connections; the most recently used one is at the back.
    std::deque<std::shared_ptr<ClientConnection>> idle_;

    /// False once the endpoint was removed; running dispatches keep the state alive.
    bool isListed_ = true;
};

} // namespace cowsliphead
