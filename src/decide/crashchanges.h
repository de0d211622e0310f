#pragma once

#include <cstdint>
#include <vector>

#include "decide/crashreport.h"

namespace cowsliphead
{

/// A part of the changes of a crash register, small enough for one message.
struct CrashChanges {
    std::vector<CrashReport> reports_;

    /// The next part begins after this version.
    std::uint64_t version_ = 0;
};

} // namespace cowsliphead
