#pragma once

#include <chrono>
#include <cstdint>

#include "core/time.h"
#include "http/connectionchoice.h"

namespace cowsliphead
{

struct RequestPlan;

/// How one attempt is made.
struct AttemptPlan {
    /// From the sending to the first byte of the answer.
    std::chrono::milliseconds firstByteTimeout_{ 0 };

    /// Between two pieces of the answer.
    std::chrono::milliseconds silenceTimeout_{ 0 };
    ConnectionChoice connection_ = ConnectionChoice::Any;
};

/// How the attempt of this number is made; 1 is the first. Thread safety: any thread.
AttemptPlan planAttempt(const RequestPlan &request, bool wantsStream, std::uint32_t number, MonotonicTime now);

} // namespace cowsliphead
