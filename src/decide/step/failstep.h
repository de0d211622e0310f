#pragma once

#include <system_error>

#include "core/outcome.h"

namespace cowsliphead
{

/// Tell the caller that there is no complete response, and whether it is certain that the request did not run.
struct FailStep {
    std::error_code code_;
    Outcome outcome_ = Outcome::Unknown;
};

} // namespace cowsliphead
