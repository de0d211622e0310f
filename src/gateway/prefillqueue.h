#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>

#include "core/time.h"

namespace cowsliphead
{

/// Estimates how long a prompt waits at an engine before it is read, from this gateway's own prompts and from how long the last
/// ones took. Other gateways' prompts show only in the latter.
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

    /// Estimates how long a prompt that is sent now will wait before it is read. Assumes that each of the gateways has sent as many tokens as
    /// this one.
    std::chrono::milliseconds waitTime(MonotonicTime now, std::size_t gateways) const;

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
