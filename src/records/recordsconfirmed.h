#pragma once

#include "core/time.h"

namespace cowsliphead
{

/// Message that the records sent last were confirmed to be current as of this time, on the monotonic clock of this process.
struct RecordsConfirmed {
    MonotonicTime asOf_;
};

} // namespace cowsliphead
