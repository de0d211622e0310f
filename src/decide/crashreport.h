#pragma once

#include <chrono>

#include "core/requestdigest.h"
#include "decide/crashcount.h"

namespace cowsliphead
{

/// What one gateway tells another about a request. It contains no time point, since clocks differ between gateways.
struct CrashReport {
    RequestDigest digest_;
    CrashCount count_;

    /// How much longer the count is valid.
    std::chrono::milliseconds remaining_{ 0 };
};

} // namespace cowsliphead
