#pragma once

#include <string>

#include "core/time.h"
#include "decide/claimkey.h"
#include "decide/claimowner.h"

namespace cowsliphead
{

/// Asks for the exclusive right to run a request with an idempotency key.
struct ClaimRequest {
    ClaimKey key_;
    std::string fingerprint_;
    ClaimOwner owner_;

    /// When the daemon had read the request.
    WallTime receivedAt_;

    /// The same moment on the daemon's monotonic clock.
    MonotonicTime askedAt_;
};

} // namespace cowsliphead
