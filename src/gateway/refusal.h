#pragma once

#include <chrono>
#include <optional>

#include "core/errorcode.h"

namespace cowsliphead
{

/// An answer of the gateway's own.
struct Refusal {
    int status_ = 0;
    ErrorCode code_ = ErrorCode::EndpointUnavailable;

    /// Present only where the request has not run and will not.
    std::optional<std::chrono::milliseconds> retryAfter_;
};

} // namespace cowsliphead
