#pragma once

#include <chrono>
#include <string>

#include "core/accountid.h"
#include "core/endpointid.h"

namespace cowsliphead
{

/// What the gateway adds to the caller's request when it sends it to an endpoint.
struct DispatchMetadata {
    EndpointId endpoint_;

    /// Empty for a request without a client account.
    AccountId account_;
    std::chrono::milliseconds timeLeft_{ 0 };
    int priority_ = 0;

    /// The endpoint only reads the prompt.
    bool isPrefill_ = false;

    /// Location of the prompt's KV cache; empty if the endpoint reads the prompt itself.
    std::string cacheSource_;

    /// The engine from which the endpoint first fetches missing parts of the prompt's KV cache; empty for none.
    std::string fetchSource_;

    /// The last event that the caller has received, after which the stream resumes; empty for a stream from its start.
    std::string lastEventId_;

    /// The trace context of this dispatch; empty to forward the caller's.
    std::string traceparent_;
};

} // namespace cowsliphead
