#pragma once

#include <chrono>
#include <optional>

#include "core/errorcode.h"

namespace cowsliphead
{

/// An error response of the gateway.
struct Refusal {
    int status_ = 0;
    ErrorCode code_ = ErrorCode::EndpointUnavailable;

    /// Set only if the request has not run and will not run.
    std::optional<std::chrono::milliseconds> retryAfter_;
};

} // namespace cowsliphead
