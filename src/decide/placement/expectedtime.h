#pragma once

#include <chrono>

namespace cowsliphead
{

/// The time from now to a request's first event at an engine, by its terms. Thread safety: as any value type.
struct ExpectedTime {
    /// What other prompts wait for at the engine.
    std::chrono::microseconds queue_{ 0 };

    /// The tokens of the prompt that the engine has to read.
    std::chrono::microseconds reading_{ 0 };

    /// The transfer of shared parts from another engine.
    std::chrono::microseconds fetch_{ 0 };

    /// The steps that the engine makes for the requests running there.
    std::chrono::microseconds steps_{ 0 };

    /// Penalty for tokens that do not fit into the free part of the KV cache.
    std::chrono::microseconds room_{ 0 };

    std::chrono::microseconds total() const
    {
        return queue_ + reading_ + fetch_ + steps_ + room_;
    }
};

} // namespace cowsliphead
