#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

namespace cowsliphead
{

/// The faults that an engine stand-in injects. Each count is decremented when its fault occurs.
struct EngineFaults {
    /// Crash after this many more tokens, counted over all answers.
    std::optional<std::uint32_t> crashAfterTokens_;

    /// How long the engine refuses connections after a crash.
    std::chrono::milliseconds downTime_{ 200 };

    /// Each answer stops after this many tokens and leaves its connection open.
    std::optional<std::uint32_t> silentAfterTokens_;

    /// Number of streamed answers to end after their first token as if they were complete.
    std::uint32_t truncations_ = 0;

    /// Number of answers to send with the identifier of another attempt.
    std::uint32_t wrongIds_ = 0;

    /// The next two requests that arrive shortly after each other each get the other's answer.
    bool crossesNextAnswers_ = false;

    /// Number of steps by which the start of every answer is delayed.
    std::uint32_t lateSteps_ = 0;

    /// Number of requests to refuse with status 503.
    std::uint32_t refusals_ = 0;

    /// Number of requests whose resume header is ignored, so that their answers start from the first token.
    std::uint32_t ignoredResumes_ = 0;

    /// Requests on connections that are open when the fault is set get no answer; those on new connections do.
    bool mutesOpenConnections_ = false;

    /// A request whose body contains this text crashes the engine. Empty: none does.
    std::string poisonText_;
};

} // namespace cowsliphead
