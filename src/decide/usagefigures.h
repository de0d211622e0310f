#pragma once

#include <algorithm>
#include <cstdint>

namespace cowsliphead
{

/// What is billed: requests, and tokens that were passed on.
struct UsageFigures {
    std::uint64_t requests_ = 0;

    /// Those of the requests whose answer did not reach its end.
    std::uint64_t cutOff_ = 0;
    std::uint64_t promptTokens_ = 0;
    std::uint64_t answerTokens_ = 0;

    bool operator==(const UsageFigures &) const = default;

    /// Thread safety: as any value type.
    UsageFigures &operator+=(const UsageFigures &other)
    {
        requests_ += other.requests_;
        cutOff_ += other.cutOff_;
        promptTokens_ += other.promptTokens_;
        answerTokens_ += other.answerTokens_;
        return *this;
    }

    /// Subtracts; a figure that would fall below zero becomes zero. Thread safety: as any value type.
    UsageFigures &operator-=(const UsageFigures &other)
    {
        requests_ -= std::min(requests_, other.requests_);
        cutOff_ -= std::min(cutOff_, other.cutOff_);
        promptTokens_ -= std::min(promptTokens_, other.promptTokens_);
        answerTokens_ -= std::min(answerTokens_, other.answerTokens_);
        return *this;
    }
};

} // namespace cowsliphead
