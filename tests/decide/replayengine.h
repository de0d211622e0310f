#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <list>
#include <vector>

#include "core/time.h"
#include "decide/placement/enginecandidate.h"
#include "fleet/enginespec.h"

namespace cowsliphead
{

struct PromptFacts;

/// A model of an engine for replays: it reads prompts one after another, keeps the shared parts that it had last, and sends parts to others one
/// after another.
class ReplayEngine
{
public:
    static constexpr double TokensPerMillisecond = 54.6;
    static constexpr EngineSpec Spec{ .slots_ = 12, .cacheTokens_ = 452991, .cacheTokenBytes_ = 18432, .linkBitsPerSecond_ = 110e9 };

    /// Age of what a gateway knows of the prompts that others have sent.
    static constexpr std::chrono::milliseconds ViewAge{ 300 };

    /// speed: 1 for the usual one. stallOffset: when in each StallPeriod the engine is slowed.
    ReplayEngine(EngineCandidate facts, double speed, std::chrono::milliseconds stallOffset);

    /// Reads a prompt that a gateway sends now. source: has the shared parts, perhaps; null for none. Returns when the prompt is read.
    MonotonicTime read(const PromptFacts &prompt, std::size_t gateway, ReplayEngine *source, MonotonicTime now);

    /// Answers a prompt that was read elsewhere; the engine then holds its shared parts.
    void answer(const PromptFacts &prompt, MonotonicTime readAt);

    /// The engine as a gateway sees it.
    EngineCandidate seenBy(std::size_t gateway, MonotonicTime now) const;

    std::uint64_t tokensRead() const
    {
        return tokensRead_;
    }

    /// When the engine is reclaimed.
    MonotonicTime leavesAt_ = MonotonicTime::max();

private:
    struct Work {
        std::size_t gateway_ = 0;
        MonotonicTime sentAt_;
        MonotonicTime doneAt_;
        std::uint64_t tokens_ = 0;

        /// Tokens that the engine had to read, with those ahead, as far as the gateway knew.
        std::uint64_t tokensUntilRead_ = 0;
    };

    /// Removes what no gateway sees any longer, and counts it in the measured speed.
    void endWork(MonotonicTime now);

    struct HeldPart {
        std::uint64_t part_ = 0;
        MonotonicTime availableAt_;
    };

    bool holds(std::uint64_t part, MonotonicTime availableBy) const;
    void keep(const PromptFacts &prompt, MonotonicTime availableAt);
    MonotonicTime send(const PromptFacts &prompt, const ReplayEngine &receiver, MonotonicTime now);
    double speedAt(MonotonicTime now) const;

    EngineCandidate facts_;
    double speed_;
    std::chrono::milliseconds stallOffset_;
    MonotonicTime freeAt_;
    MonotonicTime linkFreeAt_;
    std::uint64_t tokensRead_ = 0;

    /// What the gateways have measured, with a half-life of 10 s.
    double measuredTokens_ = 0;
    std::chrono::duration<double, std::milli> measuredTime_{ 0 };
    MonotonicTime measuredAt_;
    std::vector<Work> queue_;

    /// The most recently used part is at the front.
    std::list<HeldPart> parts_;
};

} // namespace cowsliphead
