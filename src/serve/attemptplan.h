#pragma once

#include <chrono>
#include <cstdint>

#include "core/time.h"
#include "http/connectionchoice.h"

namespace cowsliphead
{

struct RequestPlan;

/// Timeouts and connection choice of one attempt.
struct AttemptPlan {
    /// Maximum time from sending the request to the first byte of the answer.
    std::chrono::milliseconds firstByteTimeout_{ 0 };

    /// Maximum time between two pieces of the answer.
    std::chrono::milliseconds silenceTimeout_{ 0 };
    ConnectionChoice connection_ = ConnectionChoice::Any;
};

/// Plans one attempt; number counts from 1. Thread safety: any thread.
AttemptPlan planAttempt(const RequestPlan &request, bool isStreamRequested, std::uint32_t number, MonotonicTime now);

} // namespace cowsliphead
