#pragma once

#include <chrono>
#include <optional>

#include "decide/member.h"

namespace cowsliphead
{

/// What is known of one daemon when an operator asks.
struct DaemonStatus {
    Member member_;
    /// False if the daemon did not answer in time: what it holds is not known.
    bool hasAnswered_ = false;
    /// How long ago its records were confirmed to be the newest; nothing if they never were.
    std::optional<std::chrono::milliseconds> age_;
};

} // namespace cowsliphead
