#pragma once

#include <cstdint>
#include <vector>

#include "core/instanceid.h"
#include "decide/crashreport.h"

namespace cowsliphead
{

/// The part of a relay query that brings the crash registers of both sides into agreement.
struct CrashQuery {
    /// The gateway whose register the sender has, up to a version of it.
    InstanceId knownOf_;
    std::uint64_t knownVersion_ = 0;

    /// The counts of the sender that the asked gateway does not have yet.
    std::vector<CrashReport> reports_;
};

} // namespace cowsliphead
