#include "gateway/readqueue.h"

#include <algorithm>

namespace cowsliphead
{

namespace
{

/// What a current engine of the larger models reads in a millisecond, with the attention to what stands before.
constexpr std::uint64_t TokensPerMillisecond = 45;

/// A delay that was seen counts for this long, less and less: the queue behind it drains meanwhile.
constexpr std::chrono::milliseconds DelayMemory{ 600 };

} // namespace

void ReadQueue::began(std::uint64_t tokens)
{
    tokens_ += tokens;
}

void ReadQueue::ended(std::uint64_t tokens)
{
    tokens_ -= std::min(tokens, tokens_);
}

void ReadQueue::read(std::uint64_t tokens, std::chrono::nanoseconds taken, MonotonicTime now)
{
    const auto beyond = std::chrono::duration_cast<std::chrono::milliseconds>(taken) - readingTime(tokens);
    delay_ = std::max(beyond, std::chrono::milliseconds(0));
    delayAt_ = now;
}

std::chrono::milliseconds ReadQueue::wait(MonotonicTime now, std::size_t gateways) const
{
    const auto own = readingTime(tokens_ * std::max<std::size_t>(1, gateways));
    const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(now - delayAt_);
    if (age >= DelayMemory) {
        return own;
    }
    return std::max(own, delay_ * (DelayMemory - age).count() / DelayMemory.count());
}

std::chrono::milliseconds ReadQueue::readingTime(std::uint64_t tokens)
{
    return std::chrono::milliseconds(tokens / TokensPerMillisecond);
}

} // namespace cowsliphead
