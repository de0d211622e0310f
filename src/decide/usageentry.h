#pragma once

#include <cstdint>

#include "decide/usagefigures.h"
#include "decide/usagesubject.h"

namespace cowsliphead
{

/// The usage of one ended request. The incarnation that counts it and its sequence number identify it.
struct UsageEntry {
    std::uint64_t sequence_ = 0;
    UsageSubject subject_;
    UsageFigures figures_;
};

} // namespace cowsliphead
