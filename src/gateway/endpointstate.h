#pragma once

#include <cstdint>
#include <deque>
#include <memory>

#include "fleet/endpointentry.h"
#include "gateway/latenesslevel.h"
#include "gateway/readqueue.h"

namespace cowsliphead
{

class ClientConnection;

/// An endpoint as this gateway uses it.
struct EndpointState {
    EndpointEntry entry_;

    /// Requests of this gateway that the endpoint works on.
    std::uint32_t running_ = 0;

    /// Prompts that it has to read.
    ReadQueue queue_;
    LatenessLevel lateness_;

    /// Open connections without a request; the one used last is at the back.
    std::deque<std::shared_ptr<ClientConnection>> idle_;

    /// False once the endpoint left; what still runs there keeps the state alive.
    bool isListed_ = true;
};

} // namespace cowsliphead
