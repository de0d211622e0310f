#pragma once

#include <chrono>
#include <cstdint>

namespace cowsliphead
{

/// What all engines of a service have in common.
struct EngineSpec {
    /// Requests that an engine runs at once.
    std::uint32_t slots_ = 1;

    /// Tokens that fit into an engine's KV cache.
    std::uint64_t cacheTokens_ = 0;

    /// How long an engine is away while it changes its stage.
    std::chrono::milliseconds stageChangeTime_{ 0 };
};

} // namespace cowsliphead
