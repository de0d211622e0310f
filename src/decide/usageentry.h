#pragma once

#include <cstdint>

#include "decide/usagefigures.h"
#include "decide/usagesubject.h"

namespace cowsliphead
{

/// The usage of one finished request, identified by the incarnation that counts it and its sequence number.
struct UsageEntry {
    std::uint64_t sequence_ = 0;
    UsageSubject subject_;
    UsageFigures figures_;
};

} // namespace cowsliphead
