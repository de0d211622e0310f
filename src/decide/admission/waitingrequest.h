#pragma once

#include "core/time.h"
#include "decide/admission/tokencost.h"

namespace cowsliphead
{

/// A request that waits for capacity.
template <typename Ticket>
struct WaitingRequest {
    Ticket ticket_{};
    TokenCost cost_ = 1;

    /// When the request is rejected if it is still waiting.
    MonotonicTime deadline_;

    /// 0 is the most urgent.
    int priority_ = 0;
};

} // namespace cowsliphead
