#pragma once

#include <string>

namespace cowsliphead
{

/// Header fields of an endpoint's response that the gateway evaluates.
struct ResponseMetadata {
    /// Identifies the submission that the response belongs to; empty if the endpoint sent no identifier.
    std::string attemptId_;

    /// The endpoint has not run the request and will not run it.
    bool isNotExecuted_ = false;

    /// The response is signed by the endpoint and has no content encoding, which a success requires.
    bool isGenuine_ = false;
};

} // namespace cowsliphead
