#pragma once

#include <string>

#include "core/time.h"
#include "decide/claimkey.h"
#include "decide/claimowner.h"

namespace cowsliphead
{

/// Requests the exclusive right to run a request with an idempotency key.
struct ClaimRequest {
    ClaimKey key_;
    std::string fingerprint_;
    ClaimOwner owner_;

    /// When the daemon finished reading the request.
    WallTime receivedAt_;

    /// The same time on the daemon's monotonic clock.
    MonotonicTime askedAt_;
};

} // namespace cowsliphead
