#pragma once

#include <cstdint>

#include "decide/crashreports.h"

namespace cowsliphead
{

/// The answer to a CrashQuery.
struct CrashAnswer {
    /// The version of the answering gateway's register.
    std::uint64_t version_ = 0;

    /// What the asking gateway does not know yet.
    CrashReports reports_;
};

} // namespace cowsliphead
