#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>

#include "core/time.h"

namespace cowsliphead
{

/// Estimates how long a prompt waits at an engine before it is read, from the tokens ahead of it and from how long this
/// gateway's last ones took.
/// Thread safety: owner task only unless a member states otherwise.
class PrefillQueue
{
public:
    /// A prompt with this many tokens was sent to the engine.
    void promptSent(std::uint64_t tokens);

    /// The prompt was read or abandoned. Precondition: promptSent() was called with the same number of tokens.
    void promptDone(std::uint64_t tokens);

    /// A prompt was read; duration: time since it was sent.
    void addMeasurement(std::uint64_t tokens, std::chrono::nanoseconds duration, MonotonicTime now);

    /// Estimates how long a prompt that is sent now will wait before it is read. tokensAhead: what the engine has yet to read, of all
    /// gateways.
    std::chrono::milliseconds waitTime(MonotonicTime now, std::uint64_t tokensAhead) const;

    /// Tokens of this gateway's prompts that are waiting.
    std::uint64_t tokens() const
    {
        return tokens_;
    }

    /// True if no prompt of this gateway is waiting.
    bool isEmpty() const
    {
        return tokens_ == 0;
    }

    /// Time that an engine needs to read this many tokens. Thread safety: any thread.
    static std::chrono::milliseconds prefillTime(std::uint64_t tokens);

private:
    std::uint64_t tokens_ = 0;
    std::chrono::milliseconds delay_{ 0 };
    MonotonicTime delayAt_;
};

} // namespace cowsliphead
