#pragma once

#include <chrono>

#include "core/time.h"

namespace cowsliphead
{

/// What a gateway still does between the order to stop and its end.
class DrainSchedule
{
public:
    /// grace: from the order until the process is killed. Thread safety: owner task only.
    DrainSchedule(MonotonicTime startedAt, std::chrono::milliseconds grace);

    /// True while the balancer may still send callers here. Thread safety: owner task only.
    bool isAnnounced(MonotonicTime now) const;

    /// True if a request that arrives now and lasts so long at most is taken; otherwise it would be cut at the end. Thread safety:
    /// owner task only.
    bool takes(std::chrono::milliseconds timeLimit, MonotonicTime now) const;

    /// True once the requests in hand get their last answers. Thread safety: owner task only.
    bool isEnding(MonotonicTime now) const;

    /// True once the answers had time to be written out. Thread safety: owner task only.
    bool isOver(MonotonicTime now) const;

private:
    MonotonicTime endsAt_;
    MonotonicTime announcedUntil_;
    MonotonicTime overAt_;
};

} // namespace cowsliphead
