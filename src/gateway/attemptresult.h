#pragma once

#include <string>

#include "gateway/attemptend.h"
#include "http1/responsehead.h"

namespace cowsliphead
{

/// How a dispatch ended, with the endpoint's response if it was complete.
struct AttemptResult {
    AttemptEnd end_ = AttemptEnd::NotOffered;
    ResponseHead head_;
    std::string body_;

    /// For logs: why there is no complete response.
    const char *reason_ = "";
};

} // namespace cowsliphead
