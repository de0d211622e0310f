#pragma once

#include <optional>

#include "core/time.h"
#include "decide/claimanswer.h"
#include "decide/claimkey.h"
#include "decide/claimowner.h"

namespace cowsliphead
{

/// Reports how a request with a claim ended. No end is reported for a request that may have run without a complete response: its
/// claim stays until it expires.
struct ClaimEnd {
    ClaimKey key_;
    ClaimOwner owner_;

    /// False: it is certain that no part of the request ran, and the key may be claimed again.
    bool hasRun_ = false;

    /// Not earlier than the time at which the caller was told.
    WallTime endedAt_;

    /// When to stop trying to write this end to the store.
    MonotonicTime giveUpAt_;

    /// Not set if the response is too long to store.
    std::optional<ClaimAnswer> answer_;
};

} // namespace cowsliphead
