#pragma once

#include <string>

#include "gateway/attemptend.h"
#include "http1/responsehead.h"

namespace cowsliphead
{

/// The end of a dispatch, with the endpoint's whole answer where there is one.
struct AttemptResult {
    AttemptEnd end_ = AttemptEnd::NotOffered;
    ResponseHead head_;
    std::string body_;

    /// For logs: why there is no whole answer.
    const char *reason_ = "";
};

} // namespace cowsliphead
