#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

namespace cowsliphead
{

/// What an engine stand-in is told to do wrong. Counts go down as the faults happen.
struct EngineFaults {
    /// Crash once so many more tokens have been produced, whoever they are for.
    std::optional<std::uint32_t> crashAfterTokens_;

    /// How long the engine refuses connections after a crash.
    std::chrono::milliseconds downTime_{ 200 };

    /// Each answer produces so many tokens and then falls silent with its connection open.
    std::optional<std::uint32_t> silentAfterTokens_;

    /// So many streamed answers end after their first token as if they were whole.
    std::uint32_t truncations_ = 0;

    /// So many answers carry the identifier of another attempt.
    std::uint32_t wrongIds_ = 0;

    /// The next two requests that come close together each get the other one's answer.
    bool isCrossing_ = false;

    /// Answers begin so many steps late.
    std::uint32_t lateSteps_ = 0;

    /// So many requests are refused with 503.
    std::uint32_t refusals_ = 0;

    /// So many requests have the header that asks for a resumed answer ignored.
    std::uint32_t ignoredResumes_ = 0;

    /// All connections open now give no answer any more; new ones do.
    bool areOpenConnectionsMute_ = false;

    /// A request whose body has this text crashes the engine; empty for none.
    std::string poison_;
};

} // namespace cowsliphead
