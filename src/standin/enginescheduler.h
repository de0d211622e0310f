#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <list>
#include <memory>

#include "standin/enginefaults.h"
#include "standin/engineload.h"
#include "standin/engineoptions.h"
#include "standin/engineprefixcache.h"
#include "task/timer.h"

namespace cowsliphead
{

class EngineAnswer;
class EventLoop;

/// Continuous batching of an engine stand-in: each step produces one token for every answer in the batch.
/// Thread safety: the loop's task only.
class EngineScheduler
{
public:
    /// onCrash is called when a fault requires a crash; the owner must then call clear() in a later turn of the loop.
    /// Precondition: the faults outlive the scheduler.
    EngineScheduler(EventLoop &loop, const EngineOptions &options, EngineFaults &faults, std::function<void()> onCrash);
    ~EngineScheduler();

    /// Starts an answer and queues it until the KV cache has room for it.
    void add(std::unique_ptr<EngineAnswer> answer);

    /// Removes all answers and clears the prefix cache, as a crash does.
    void clear();

    const EngineLoad &load() const;

private:
    using Answers = std::list<std::unique_ptr<EngineAnswer>>;

    void beginStep();
    void endStep();
    void removeEnded(Answers &answers);

    /// Moves waiting answers into the batch while the KV cache has room. Returns the tokens to prefill for them.
    std::uint32_t admit();
    std::uint32_t prefillTokens(const EngineAnswer &answer);
    bool hasPoisonRequest() const;

    /// Counts a token towards crashAfterTokens_. Returns true if the engine has to crash now.
    bool countTokenUntilCrash();
    void updateLoad();

    EngineOptions options_;
    EngineFaults &faults_;
    std::function<void()> onCrash_;
    EnginePrefixCache prefixes_;

    /// By descending priority, then by arrival.
    Answers waiting_;
    Answers running_;
    std::uint32_t usedPieces_ = 0;
    EngineLoad load_;
    bool isStepUnderWay_ = false;
    Timer stepTimer_;
};

} // namespace cowsliphead
