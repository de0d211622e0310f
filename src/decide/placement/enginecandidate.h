#pragma once

#include <cstdint>

#include "core/endpointkey.h"
#include "core/failuredomain.h"

namespace cowsliphead
{

/// An engine that may get a request, as this gateway sees it.
struct EngineCandidate {
    EndpointKey key_ = 0;
    FailureDomain domain_;

    /// Tokens of the prompts that all gateways have sent and that the engine has yet to read.
    std::uint64_t queuedTokens_ = 0;

    /// Requests of all gateways that the engine is processing.
    std::uint32_t running_ = 0;
    std::uint32_t slots_ = 1;

    /// Tokens in the KV cache that running requests need, as far as known.
    std::uint64_t usedCacheTokens_ = 0;

    /// Prompt tokens that the engine reads in a millisecond. Precondition of all functions of placement: positive.
    double tokensPerMillisecond_ = 1;

    /// True if the engine streams answers while it reads prompts.
    bool isStreaming_ = false;

    /// True if the engine is expected to hold the request's shared parts in its KV cache.
    bool holdsParts_ = false;
};

} // namespace cowsliphead
