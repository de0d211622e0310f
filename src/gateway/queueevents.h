#pragma once

#include <functional>

namespace cowsliphead
{

/// How a request that waits for room learns what becomes of it; one of the two is called, once. Thread safety: as any value type.
struct QueueEvents {
    std::function<void()> onRoom_;

    /// The deadline has passed.
    std::function<void()> onTimedOut_;
};

} // namespace cowsliphead
