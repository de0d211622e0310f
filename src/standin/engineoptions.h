#pragma once

#include <chrono>
#include <cstdint>
#include <string>

namespace cowsliphead
{

/// How an engine stand-in behaves; docs/design/engine-model.md has the model.
struct EngineOptions {
    std::string name_ = "engine";
    std::string model_ = "small";
    std::chrono::microseconds prefillTimePerToken_{ 20 };

    /// The time of one step of the batch, which gives each answer in it one token.
    std::chrono::microseconds decodeStepTime_{ 1000 };

    /// Added to a step for each answer in the batch.
    std::chrono::microseconds decodeTimePerAnswer_{ 10 };

    /// Tokens of an answer whose request does not say how many.
    std::uint32_t defaultTokens_ = 16;

    /// True if the engine refuses an order with an old fencing number.
    bool checksFencing_ = true;
    /// Capacity of the KV cache for answers under way, in pieces of PieceTokens.
    std::uint32_t kvPieces_ = 256;

    /// Capacity for prefixes of earlier prompts, in pieces of PieceTokens.
    std::uint32_t prefixCachePieces_ = 64;

    /// The reported load is as old as this at the most.
    std::chrono::milliseconds loadReportInterval_{ 500 };
};

} // namespace cowsliphead
