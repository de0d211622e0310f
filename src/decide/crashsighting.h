#pragma once

#include <chrono>
#include <vector>

#include "decide/incarnationkey.h"
#include "decide/suspectkey.h"

namespace cowsliphead
{

/// What one gateway tells another about a CrashRecord. It contains no time point, since clocks differ between gateways.
struct CrashSighting {
    IncarnationKey endpoint_{};
    SuspectKey request_{};
    std::vector<SuspectKey> parts_;

    /// How long the endpoint had the request.
    std::chrono::milliseconds held_{ 0 };

    /// Time since the crash.
    std::chrono::milliseconds age_{ 0 };
    bool isRefuted_ = false;

    bool operator==(const CrashSighting &) const = default;
};

} // namespace cowsliphead
