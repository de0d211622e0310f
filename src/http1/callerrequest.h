#pragma once

#include <string>

#include "core/time.h"
#include "http1/requesthead.h"

namespace cowsliphead
{

/// A request of a caller with its whole body.
struct CallerRequest {
    RequestHead head_;
    std::string body_;

    /// When its head was complete.
    MonotonicTime arrivedAt_;
};

} // namespace cowsliphead
