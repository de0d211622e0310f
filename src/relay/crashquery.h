#pragma once

#include <cstdint>

#include "core/instanceid.h"
#include "decide/crashreports.h"

namespace cowsliphead
{

/// The part of a relay query that brings the crash registers of both sides into agreement.
struct CrashQuery {
    /// The gateway whose register the sender has, up to a version of it.
    InstanceId knownOf_;
    std::uint64_t knownVersion_ = 0;

    /// What the asked gateway does not know yet.
    CrashReports reports_;
};

} // namespace cowsliphead
