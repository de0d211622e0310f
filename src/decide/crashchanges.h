#pragma once

#include <cstdint>

#include "decide/crashreports.h"

namespace cowsliphead
{

/// A part of the changes of a crash register, small enough for one message.
struct CrashChanges {
    CrashReports reports_;

    /// The next part begins after this version.
    std::uint64_t version_ = 0;
};

} // namespace cowsliphead
