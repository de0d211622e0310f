#pragma once

#include <cstdint>

#include "core/time.h"

namespace cowsliphead
{

/// The properties of a request that determine how often and for how long it may be tried.
struct RequestTraits {
    /// False: at most one endpoint may ever run it.
    bool isRepeatable_ = true;

    /// True if the caller gave an idempotency key that must be claimed before anything is sent.
    bool needsClaim_ = false;

    /// True if another endpoint can continue a response that was interrupted.
    bool isResumable_ = false;

    /// Maximum number of attempts, including the first.
    std::uint32_t maxAttempts_ = 1;

    /// No attempt begins after this time.
    MonotonicTime deadline_;
};

} // namespace cowsliphead
