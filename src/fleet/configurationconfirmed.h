#pragma once

#include "core/time.h"

namespace cowsliphead
{

/// The configuration last handed on was still the newest at some time after this one.
struct ConfigurationConfirmed {
    MonotonicTime askedAt_;
};

} // namespace cowsliphead
