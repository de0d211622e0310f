#pragma once

#include <chrono>

namespace cowsliphead
{

/// How long the best candidate is expected to take until the first event of a request that is sent now. Thread safety: as any value type.
struct FirstEventEstimate {
    /// The wait behind earlier requests. It ends by itself, so it is what a later attempt can save.
    std::chrono::milliseconds queue_{ 0 };

    /// Reading the part of the prompt that is not cached.
    std::chrono::milliseconds reading_{ 0 };

    /// All other terms: fetching cached parts, the first steps, and room in the KV cache; of plain services, the response time.
    std::chrono::milliseconds rest_{ 0 };

    std::chrono::milliseconds total() const
    {
        return queue_ + reading_ + rest_;
    }
};

} // namespace cowsliphead
