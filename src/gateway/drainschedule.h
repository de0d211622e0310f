#pragma once

#include <chrono>

#include "core/time.h"

namespace cowsliphead
{

/// The phases of a gateway's shutdown. Thread safety: owner task only.
class DrainSchedule
{
public:
    /// grace: time from the stop signal until the process is killed.
    DrainSchedule(MonotonicTime startedAt, std::chrono::milliseconds grace);

    /// True while the load balancer may still send new callers to this instance.
    bool mayGetNewCallers(MonotonicTime now) const;

    /// True if a request that arrives now is accepted: always while new callers may arrive, and afterwards only if timeLimit ends before the
    /// final responses are sent, so that they do not interrupt the request.
    bool accepts(std::chrono::milliseconds timeLimit, MonotonicTime now) const;

    /// True once the remaining requests get their final responses.
    bool isEnding(MonotonicTime now) const;

    /// True once the time for writing the final responses has passed.
    bool isOver(MonotonicTime now) const;

private:
    MonotonicTime endsAt_;
    MonotonicTime newCallersUntil_;
    MonotonicTime overAt_;
};

} // namespace cowsliphead
