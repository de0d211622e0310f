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

    /// Size of the KV cache of one token in bytes; 0 if unknown.
    std::uint64_t cacheTokenBytes_ = 0;

    /// Bandwidth of an engine's link for KV caches, in bits per second; 0 if unknown.
    double linkBitsPerSecond_ = 0;

    /// How long an engine is unavailable while it changes its stage.
    std::chrono::milliseconds stageChangeTime_{ 0 };

    /// True if fetching a shared part of a prompt from another engine is cheap in comparison with reading it, so that any engine of the service
    /// can serve any prompt. Thread safety: any thread.
    bool hasCompactCache() const
    {
        return cacheTokenBytes_ > 0 && cacheTokenBytes_ <= MaxCompactTokenBytes;
    }

private:
    /// Above this, the bytes that fetches move cost more than the reading that they save.
    static constexpr std::uint64_t MaxCompactTokenBytes = 65536;
};

} // namespace cowsliphead
