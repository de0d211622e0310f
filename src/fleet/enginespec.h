#pragma once

#include <chrono>
#include <cstdint>

namespace cowsliphead
{

/// Properties shared by all engines of a service.
struct EngineSpec {
    /// Requests that an engine runs concurrently.
    std::uint32_t slots_ = 1;

    /// Capacity of an engine's KV cache in tokens.
    std::uint64_t cacheTokens_ = 0;

    /// How long an engine is unavailable while it changes its stage.
    std::chrono::milliseconds stageChangeTime_{ 0 };
};

} // namespace cowsliphead
