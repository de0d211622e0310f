#pragma once

#include <chrono>
#include <cstdint>
#include <string>

namespace cowsliphead
{

/// Options of an engine stand-in. The model is described in docs/design/engine-model.md.
struct EngineOptions {
    std::string name_ = "engine";
    std::string model_ = "small";
    std::chrono::microseconds prefillTimePerToken_{ 20 };

    /// Base time of one step of the batch, which produces one token for each answer in it.
    std::chrono::microseconds decodeStepTime_{ 1000 };

    /// Added to the step time for each answer in the batch.
    std::chrono::microseconds stepTimePerAnswer_{ 10 };

    /// Tokens of an answer if the request does not set max_tokens.
    std::uint32_t defaultTokens_ = 16;

    /// True if the engine refuses an order with an outdated fencing number.
    bool checksFencing_ = true;

    /// Capacity of the KV cache for running answers, in pieces of PieceTokens.
    std::uint32_t kvPieces_ = 256;

    /// Capacity of the prefix cache for earlier prompts, in pieces of PieceTokens.
    std::uint32_t prefixCachePieces_ = 64;

    /// Interval at which the load reported with answers is updated.
    std::chrono::milliseconds loadReportInterval_{ 500 };
};

} // namespace cowsliphead
