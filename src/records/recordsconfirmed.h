#pragma once

#include "core/time.h"

namespace cowsliphead
{

/// Tells that the records that were sent before were the newest at this time, on the monotonic clock of this process.
struct RecordsConfirmed {
    MonotonicTime asOf_;
};

} // namespace cowsliphead
