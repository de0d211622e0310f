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

/// Batches the answers of an engine stand-in continuously: step by step, each one in the batch gets a token.
class EngineScheduler
{
public:
    /// onCrash is called when a fault asks for a crash; the owner then calls clear() in a later turn.
    /// Precondition: the faults outlive the scheduler. Thread safety: the loop's task only.
    EngineScheduler(EventLoop &loop, const EngineOptions &options, EngineFaults &faults, std::function<void()> onCrash);
    ~EngineScheduler();

    /// Takes an answer into the batch, or lets it wait for KV cache. Thread safety: the loop's task only.
    void add(std::unique_ptr<EngineAnswer> answer);

    /// Drops every answer and what is cached, as a crash would. Thread safety: the loop's task only.
    void clear();

    /// Thread safety: the loop's task only.
    const EngineLoad &load() const;

private:
    using Answers = std::list<std::unique_ptr<EngineAnswer>>;

    void beginStep();
    void endStep();
    void dropEnded(Answers &answers);
    std::uint32_t admit();
    std::uint32_t prefillTokens(const EngineAnswer &answer);
    bool isPoisoned() const;
    bool countToken();
    void updateLoad();

    EngineOptions options_;
    EngineFaults &faults_;
    std::function<void()> onCrash_;
    EnginePrefixCache prefixes_;

    /// By falling priority, then by arrival.
    Answers waiting_;
    Answers running_;
    std::uint32_t usedPieces_ = 0;
    EngineLoad load_;
    bool isStepping_ = false;
    Timer step_;
};

} // namespace cowsliphead
