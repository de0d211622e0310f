#pragma once

#include <chrono>

#include "decide/suspectkey.h"

namespace cowsliphead
{

/// What one gateway tells another about an answer that clears a suspect of all crashes before it.
struct CrashClearance {
    SuspectKey suspect_{};

    /// Time since the answer.
    std::chrono::milliseconds age_{ 0 };

    bool operator==(const CrashClearance &) const = default;
};

} // namespace cowsliphead
