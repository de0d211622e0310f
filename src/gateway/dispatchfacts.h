#pragma once

#include <chrono>
#include <string>

#include "core/accountid.h"
#include "core/endpointid.h"

namespace cowsliphead
{

/// What the gateway says to an endpoint beyond the caller's request.
struct DispatchFacts {
    EndpointId endpoint_;

    /// Empty on a route open to all.
    AccountId account_;
    std::chrono::milliseconds timeLeft_{ 0 };
    int priority_ = 0;

    /// Only the prompt is to be read.
    bool isPrefill_ = false;

    /// Where the KV cache of the prompt lies; empty if the endpoint reads the prompt itself.
    std::string cacheSource_;

    /// The engine from which the endpoint first takes what it lacks of the prompt's KV cache; empty for none.
    std::string fetchSource_;

    /// The event after which a stream goes on; empty from its start.
    std::string lastEventId_;

    /// The dispatch's place in its trace; empty to leave the caller's in place.
    std::string traceparent_;
};

} // namespace cowsliphead
