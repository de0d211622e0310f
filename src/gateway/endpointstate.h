#pragma once

#include <cstdint>
#include <deque>
#include <memory>

#include "fleet/endpointentry.h"
#include "gateway/latenesslevel.h"

namespace cowsliphead
{

class ClientConnection;

/// An endpoint as this gateway uses it.
struct EndpointState {
    EndpointEntry entry_;

    /// Requests of this gateway that the endpoint works on.
    std::uint32_t running_ = 0;

    /// Prompt tokens of those that it has still to read, as far as this gateway knows.
    std::uint64_t promptTokens_ = 0;
    LatenessLevel lateness_;

    /// Open connections without a request; the one used last is at the back.
    std::deque<std::shared_ptr<ClientConnection>> idle_;

    /// False once the endpoint left; what still runs there keeps the state alive.
    bool isListed_ = true;
};

} // namespace cowsliphead
