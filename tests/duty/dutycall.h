#pragma once

#include <string>

#include "core/time.h"
#include "decide/fencingnumber.h"

namespace cowsliphead
{

/// A call as the platform receives it.
struct DutyCall {
    MonotonicTime at_;
    std::string holder_;
    FencingNumber fence_ = 0;

    /// When the last freeze of the sender or the last cut of its link ended.
    MonotonicTime thawedAt_;
};

} // namespace cowsliphead
