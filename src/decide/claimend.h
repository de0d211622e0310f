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

    /// Time until which writing this end to the store is retried.
    MonotonicTime writeDeadline_;

    /// Not set if the answer is too long to store.
    std::optional<ClaimAnswer> answer_;
};

} // namespace cowsliphead
