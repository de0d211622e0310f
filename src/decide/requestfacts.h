#pragma once

#include <string>

#include "core/modelid.h"

namespace cowsliphead
{

/// What a front end has parsed from a request, independent of the encoding.
struct RequestFacts {
    /// The API key that the caller sent; empty if there was none.
    std::string key_;
    /// True if the path, query or body contains an API key, which an endpoint would then see.
    bool isKeyExposed_ = false;

    /// Set for a completion; empty for a request to a plain service.
    ModelId model_;

    /// The path, for a request to a plain service.
    std::string path_;

    /// True if the protocol defines the request's method as idempotent.
    bool isMethodIdempotent_ = false;

    /// The caller's idempotency key; empty if there was none.
    std::string idempotencyKey_;

    /// True if the caller wants the response streamed.
    bool isStreamed_ = false;
};

} // namespace cowsliphead
