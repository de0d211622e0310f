#pragma once

#include <chrono>
#include <cstdint>

namespace cowsliphead
{

/// What placement has to know of a request.
struct PromptFacts {
    /// Tokens of the prompt that no other request shares.
    std::uint64_t ownTokens_ = 0;

    /// Tokens of the parts that other requests share.
    std::uint64_t sharedTokens_ = 0;

    /// A hash of the shared parts, equal at all gateways.
    std::uint64_t sharedParts_ = 0;

    /// A first event within this time counts as on time.
    std::chrono::milliseconds targetLatency_{ 0 };
};

} // namespace cowsliphead
