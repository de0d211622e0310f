#pragma once

#include <chrono>

#include "decide/suspectkey.h"

namespace cowsliphead
{

/// Why a request is not dispatched.
struct CrashVerdict {
    SuspectKey culprit_{};

    /// How much longer the culprit is quarantined.
    std::chrono::milliseconds left_{ 0 };
};

} // namespace cowsliphead
