#include "gateway/prefillqueue.h"

#include <algorithm>

#include "decide/defaultenginespeed.h"
namespace cowsliphead
{

namespace
{

/// The weight of a measured delay falls to zero over this time, since the queue behind it drains meanwhile.
constexpr std::chrono::milliseconds DelayLifetime{ 600 };

} // namespace

void PrefillQueue::promptSent(std::uint64_t tokens)
{
    tokens_ += tokens;
}

void PrefillQueue::promptDone(std::uint64_t tokens)
{
    tokens_ -= std::min(tokens, tokens_);
}

void PrefillQueue::addMeasurement(std::uint64_t tokens, std::chrono::nanoseconds duration, MonotonicTime now)
{
    const auto delay = std::chrono::duration_cast<std::chrono::milliseconds>(duration) - prefillTime(tokens);
    delay_ = std::max(delay, std::chrono::milliseconds(0));
    delayAt_ = now;
}

std::chrono::milliseconds PrefillQueue::waitTime(MonotonicTime now, std::uint64_t tokensAhead) const
{
    const auto knownWait = prefillTime(tokensAhead);
    const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(now - delayAt_);
    if (age >= DelayLifetime) {
        return knownWait;
    }
    return std::max(knownWait, delay_ * (DelayLifetime - age).count() / DelayLifetime.count());
}

std::chrono::milliseconds PrefillQueue::prefillTime(std::uint64_t tokens)
{
    return std::chrono::milliseconds(tokens / static_cast<std::uint64_t>(DefaultTokensPerMillisecond));
}

} // namespace cowsliphead
