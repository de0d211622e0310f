#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>

#include "core/time.h"

namespace cowsliphead
{

/// What an engine has to read before a prompt's turn comes, estimated from this gateway's own prompts and from how long the last
/// ones took. Other gateways' prompts show only in the latter.
class ReadQueue
{
public:
    /// A prompt was sent. Thread safety: owner task only.
    void began(std::uint64_t tokens);

    /// A prompt was read, or given up: it waits no more. Precondition: began() was called with the tokens. Thread safety: owner task only.
    void ended(std::uint64_t tokens);

    /// A prompt was read in that time, from its sending. Thread safety: owner task only.
    void read(std::uint64_t tokens, std::chrono::nanoseconds taken, MonotonicTime now);

    /// How long a prompt that is sent now waits before it is read, if each of so many gateways has sent as much as this one.
    /// Thread safety: owner task only.
    std::chrono::milliseconds wait(MonotonicTime now, std::size_t gateways) const;

    /// True if no prompt of this gateway waits. Thread safety: owner task only.
    bool isEmpty() const
    {
        return tokens_ == 0;
    }

    /// How long the reading of so many tokens takes. Thread safety: any thread.
    static std::chrono::milliseconds readingTime(std::uint64_t tokens);

private:
    std::uint64_t tokens_ = 0;
    std::chrono::milliseconds delay_{ 0 };
    MonotonicTime delayAt_;
};

} // namespace cowsliphead
