#pragma once

#include <chrono>
#include <optional>

#include "decide/member.h"

namespace cowsliphead
{

/// Status of one daemon, as collected for an operator.
struct DaemonStatus {
    Member member_;
    /// False if the daemon did not answer in time; its current revision is then unknown.
    bool hasAnswered_ = false;
    /// Time since its records were last confirmed to be current; nothing if they never were.
    std::optional<std::chrono::milliseconds> age_;
};

} // namespace cowsliphead
