#pragma once

#include <chrono>
#include <optional>
#include <string>

#include "core/endpointid.h"

namespace cowsliphead
{

/// Header fields of an endpoint's response that the gateway evaluates.
struct ResponseMetadata {
    /// Identifies the submission that the response belongs to; empty if the endpoint sent no identifier.
    std::string attemptId_;

    /// The endpoint states that it has not run the request and will not run it.
    bool isNotExecuted_ = false;

    /// The endpoint is not the one that the request was meant for, which it therefore has not run. It counts only if answeredBy_ names another
    /// endpoint.
    bool isMisdirected_ = false;

    /// To callers the response's status means that the request has not run and never will.
    bool isRefusal_ = false;

    /// The endpoint that has answered; empty if the response does not say so.
    EndpointId answeredBy_{};

    /// The response is signed by the endpoint and has no content encoding, which a success requires.
    bool isGenuine_ = false;

    /// The endpoint is leaving: it is to get no new requests.
    bool isLeaving_ = false;

    /// For how long the endpoint wants no requests from this gateway; absent if it does not say so.
    std::optional<std::chrono::milliseconds> pause_{};

    /// The response names a pause that is not a valid one and is ignored.
    bool isPauseMalformed_ = false;
};

} // namespace cowsliphead
