#pragma once

#include <string>

#include "core/modelid.h"

namespace cowsliphead
{

/// What a front end has understood of a request, whatever its encoding.
struct RequestFacts {
    /// The key that the caller sent; empty if there was none.
    std::string key_;
    /// True if path, query or body hold a caller's key, so that an endpoint would see it.
    bool isKeyExposed_ = false;

    /// Set for a completion; empty for a request to a plain service.
    ModelId model_;

    /// The path, for a request to a plain service.
    std::string path_;

    /// True if the protocol itself says that the request may be repeated.
    bool isMethodIdempotent_ = false;

    /// The caller's idempotency key; empty if there was none.
    std::string idempotencyKey_;

    /// True if the caller wants the answer as it is produced.
    bool isStreamed_ = false;
};

} // namespace cowsliphead
