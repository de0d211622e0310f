#pragma once

#include <optional>
#include <string>

#include "gateway/attemptend.h"
#include "http1/connectionfailure.h"
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

    /// Set if the connection failed.
    std::optional<ConnectionFailure> failure_{};

    /// The head of a response had arrived.
    bool isAnswerBegun_ = false;

    /// Another endpoint answered at this one's address.
    bool isReplaced_ = false;

    /// True if the endpoint closed the connection with the request in hand, as it does when it crashes.
    bool isClosedByEndpoint() const
    {
        return end_ == AttemptEnd::Lost && failure_ == ConnectionFailure::Closed;
    }
};

} // namespace cowsliphead
