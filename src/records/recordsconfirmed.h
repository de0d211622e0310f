#pragma once

#include "core/time.h"

namespace cowsliphead
{

/// States that the records sent before this message were confirmed to be current as of this time, on the monotonic clock of this process.
struct RecordsConfirmed {
    MonotonicTime asOf_;
};

} // namespace cowsliphead
