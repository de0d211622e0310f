#pragma once

#include <chrono>

#include "http/connectionchoice.h"

namespace cowsliphead
{

/// How one attempt is made.
struct AttemptPlan {
    /// From the sending to the first byte of the answer.
    std::chrono::milliseconds firstByteTimeout_{ 0 };

    /// Between two pieces of the answer.
    std::chrono::milliseconds silenceTimeout_{ 0 };
    ConnectionChoice connection_ = ConnectionChoice::Any;
};

} // namespace cowsliphead
