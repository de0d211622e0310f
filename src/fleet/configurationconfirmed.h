#pragma once

#include "core/time.h"

namespace cowsliphead
{

/// Reports that the configuration last passed on was still the newest one at some time after askedAt_.
struct ConfigurationConfirmed {
    MonotonicTime askedAt_;
};

} // namespace cowsliphead
