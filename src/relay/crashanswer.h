#pragma once

#include <cstdint>
#include <vector>

#include "decide/crashreport.h"

namespace cowsliphead
{

/// The answer to a CrashQuery.
struct CrashAnswer {
    /// The version of the answering gateway's register.
    std::uint64_t version_ = 0;

    /// Its counts that the asking gateway does not have yet.
    std::vector<CrashReport> reports_;
};

} // namespace cowsliphead
