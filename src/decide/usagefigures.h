#pragma once

#include <algorithm>
#include <cstdint>

namespace cowsliphead
{

/// The billed quantities: requests, and tokens that were passed on. Thread safety: as any value type.
struct UsageFigures {
    std::uint64_t requests_ = 0;

    /// Requests whose response was not completed.
    std::uint64_t cutOff_ = 0;
    std::uint64_t promptTokens_ = 0;
    std::uint64_t answerTokens_ = 0;

    bool operator==(const UsageFigures &) const = default;

    UsageFigures &operator+=(const UsageFigures &other)
    {
        requests_ += other.requests_;
        cutOff_ += other.cutOff_;
        promptTokens_ += other.promptTokens_;
        answerTokens_ += other.answerTokens_;
        return *this;
    }

    /// Subtracts; a figure that would become negative becomes zero.
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
