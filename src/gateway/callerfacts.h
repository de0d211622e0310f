#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "gateway/promptpart.h"

namespace cowsliphead
{

/// What a caller's request says of itself.
struct CallerFacts {
    /// Names this attempt of the caller; its answer bears the same.
    std::string attemptId_;
    std::string host_;
    std::string key_;

    /// How long the caller waits; absent if it does not say.
    std::optional<std::chrono::milliseconds> claimTimeout_;

    /// The prompt's parts in order; the last one belongs to this request or its session alone.
    std::vector<PromptPart> promptParts_;
    std::uint64_t promptTokens_ = 0;
    std::uint64_t maxOutputTokens_ = 0;

    /// The event that the caller has seen last, where it resumes a stream.
    std::string lastEventId_;

    /// Tokens of the parts that other requests share. Thread safety: as any value type.
    std::uint64_t sharedTokens() const
    {
        std::uint64_t tokens = 0;
        for (std::size_t index = 0; index + 1 < promptParts_.size(); ++index) {
            tokens += promptParts_[index].tokens_;
        }
        return tokens;
    }
};

} // namespace cowsliphead
