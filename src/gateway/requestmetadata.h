#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <vector>

#include "gateway/promptpart.h"

namespace cowsliphead
{

/// Header fields of a caller's request that the gateway evaluates. Thread safety: as any value type.
struct RequestMetadata {
    /// Identifies this submission of the request; the response repeats it.
    std::string attemptId_;
    std::string host_;
    std::string key_;

    /// How long the caller waits; absent if the caller did not state it.
    std::optional<std::chrono::milliseconds> callerTimeout_;

    /// The prompt's parts in order; the last one is used by this request or its session only.
    std::vector<PromptPart> promptParts_;
    std::uint64_t promptTokens_ = 0;
    std::uint64_t maxOutputTokens_ = 0;

    /// The last event that the caller has received, if it resumes a stream.
    std::string lastEventId_;

    /// The parts that other requests may share: all but the last one.
    std::span<const PromptPart> sharedParts() const
    {
        return std::span(promptParts_).first(promptParts_.empty() ? 0 : promptParts_.size() - 1);
    }

    /// Tokens of the parts that other requests may share.
    std::uint64_t sharedTokens() const
    {
        std::uint64_t tokens = 0;
        for (const auto &part : sharedParts()) {
            tokens += part.tokens_;
        }
        return tokens;
    }
};

} // namespace cowsliphead
