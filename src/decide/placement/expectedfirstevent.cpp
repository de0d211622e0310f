#include "decide/placement/expectedfirstevent.h"

#include <algorithm>

#include "decide/placement/enginecandidate.h"
#include "decide/placement/promptfacts.h"
#include "fleet/enginespec.h"

namespace cowsliphead
{

namespace
{

/// An engine that streams divides its time between its steps and reading.
constexpr double StreamingSpeedFactor = 0.5;

/// Set-up of a fetch before the first byte.
constexpr std::chrono::microseconds FetchSetup{ 8000 };

/// Bandwidth between failure domains is half of that within one.
constexpr double RemoteFetchFactor = 2;

/// The shortest step of an engine that streams; each slot in use lengthens it, up to twice this time.
constexpr std::chrono::microseconds StepTime{ 5610 };

/// Steps of an average answer: long prompts get 17 events and the more frequent short ones 6.
constexpr double StepsPerAnswer = 9;

/// Time below the target latency counts this much, since callers gain little from an event that is earlier than that.
constexpr int EarlyTimeDivisor = 10;

/// Price of the bytes of a fetch across failure domains.
constexpr std::chrono::microseconds RemoteFetchCost{ 20000 };

std::chrono::microseconds timeOf(double milliseconds)
{
    return std::chrono::duration_cast<std::chrono::microseconds>(std::chrono::duration<double, std::milli>(milliseconds));
}

std::chrono::microseconds timeToRead(std::uint64_t tokens, const EngineCandidate &engine)
{
    const double speed = engine.tokensPerMillisecond_ * (engine.isStreaming_ ? StreamingSpeedFactor : 1);
    return timeOf(static_cast<double>(tokens) / speed);
}

std::chrono::microseconds timeToFetch(std::uint64_t tokens, const EngineSpec &spec, bool crossesDomains)
{
    if (spec.linkBitsPerSecond_ <= 0) {
        return FetchSetup;
    }
    const double bits = 8.0 * static_cast<double>(tokens) * static_cast<double>(spec.cacheTokenBytes_);
    return FetchSetup + timeOf(1000 * bits / spec.linkBitsPerSecond_ * (crossesDomains ? RemoteFetchFactor : 1));
}

/// A request that finds no free slot waits for the running ones to end, which free the slots one after another.
std::chrono::microseconds timeOfSteps(const EngineCandidate &engine)
{
    if (!engine.isStreaming_) {
        return std::chrono::microseconds(0);
    }
    const double slots = std::max<std::uint32_t>(1, engine.slots_);
    const double occupancy = std::min(1.0, engine.running_ / slots);
    const double ahead = std::max(0.0, engine.running_ + 1 - slots);
    return timeOf(std::chrono::duration<double, std::milli>(StepTime).count() * (1 + occupancy) * (1 + ahead * StepsPerAnswer / slots));
}

std::uint64_t tokensWithoutRoom(const PromptFacts &prompt, const EngineCandidate &engine, const EngineSpec &spec)
{
    const auto needed = engine.usedCacheTokens_ + prompt.ownTokens_ + prompt.sharedTokens_;
    return spec.cacheTokens_ == 0 || needed <= spec.cacheTokens_ ? 0 : needed - spec.cacheTokens_;
}

} // namespace

ExpectedTime expectedFirstEvent(const PromptFacts &prompt, const EngineCandidate &engine, const EngineSpec &spec, const std::optional<FailureDomain> &holder)
{
    ExpectedTime expected{
        .queue_ = timeToRead(engine.queuedTokens_, engine),
        .reading_ = timeToRead(prompt.ownTokens_, engine),
        .steps_ = timeOfSteps(engine),
        .room_ = timeToRead(tokensWithoutRoom(prompt, engine, spec), engine),
    };
    if (prompt.sharedTokens_ == 0 || engine.holdsParts_) {
        return expected;
    }
    const auto reading = timeToRead(prompt.sharedTokens_, engine);
    const auto fetch = holder ? timeToFetch(prompt.sharedTokens_, spec, *holder != engine.domain_) : reading;
    if (fetch < reading) {
        expected.fetch_ = fetch;
    } else {
        expected.reading_ += reading;
    }
    return expected;
}

std::chrono::microseconds expectedLoss(const ExpectedTime &expected, std::chrono::milliseconds targetLatency, bool crossesDomains)
{
    const auto total = expected.total();
    const auto late = std::max(total - std::chrono::microseconds(targetLatency), std::chrono::microseconds(0));
    return late + (total - late) / EarlyTimeDivisor + (crossesDomains ? RemoteFetchCost : std::chrono::microseconds(0));
}

} // namespace cowsliphead
