#pragma once

#include <chrono>
#include <cstdint>
#include <string>

namespace cowsliphead
{

/// How an engine stand-in behaves.
struct EngineOptions {
    std::string name_ = "engine";
    std::string model_ = "small";
    std::chrono::microseconds prefillTimePerToken_{ 20 };
    std::chrono::microseconds decodeTimePerToken_{ 1000 };

    /// Tokens of an answer whose request does not say how many.
    std::uint32_t defaultTokens_ = 16;

    /// True if the engine refuses an order with an old fencing number.
    bool checksFencing_ = true;
};

} // namespace cowsliphead
