#pragma once

#include <string>

namespace cowsliphead
{

/// What an endpoint's answer says of itself.
struct AnswerFacts {
    /// The attempt that it answers; empty if it does not say.
    std::string attemptId_;

    /// The endpoint has not run the request and will not.
    bool isNotExecuted_ = false;

    /// The body is the endpoint's own, as success requires.
    bool isGenuine_ = false;
};

} // namespace cowsliphead
