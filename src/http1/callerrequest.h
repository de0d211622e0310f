#pragma once

#include <string>

#include "core/time.h"
#include "http1/requesthead.h"

namespace cowsliphead
{

/// A caller's request with its complete body.
struct CallerRequest {
    RequestHead head_;
    std::string body_;

    /// The time at which the head was complete.
    MonotonicTime arrivedAt_;
};

} // namespace cowsliphead
