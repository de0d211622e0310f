#pragma once

#include "core/accountid.h"
#include "core/time.h"
#include "gateway/queueevents.h"

namespace cowsliphead
{

/// A request that waits for a plain endpoint with room. Thread safety: as any value type.
struct QueuedRequest {
    AccountId account_;

    /// 0 is the most urgent.
    int priority_ = 0;

    /// When it is refused if it is still waiting.
    MonotonicTime deadline_;
    QueueEvents events_;
    MonotonicTime since_{};
};

} // namespace cowsliphead
