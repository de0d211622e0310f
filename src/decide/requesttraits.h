#pragma once

#include <cstdint>

#include "core/time.h"

namespace cowsliphead
{

/// What decides how often and for how long a request may be tried.
struct RequestTraits {
    /// False: at most one endpoint may ever run it.
    bool isRepeatable_ = true;

    /// True if the caller gave an idempotency key, which has to be claimed before anything is sent.
    bool needsClaim_ = false;

    /// True if an endpoint can go on where another one stopped.
    bool isResumable_ = false;

    /// Attempts altogether, the first included.
    std::uint32_t maxAttempts_ = 1;

    /// No attempt is begun after this time.
    MonotonicTime deadline_;
};

} // namespace cowsliphead
