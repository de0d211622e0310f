#pragma once

#include <system_error>

#include "core/outcome.h"

namespace cowsliphead
{

/// Tell the caller that there is no whole answer, and what is certain about the request.
struct FailStep {
    std::error_code code_;
    Outcome outcome_ = Outcome::Unknown;
};

} // namespace cowsliphead
