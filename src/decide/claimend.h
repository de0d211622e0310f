#pragma once

#include <optional>

#include "core/time.h"
#include "decide/claimanswer.h"
#include "decide/claimkey.h"
#include "decide/claimowner.h"

namespace cowsliphead
{

/// Tells how a request with a claim ended. One that may have run without a whole answer tells nothing: its claim stays.
struct ClaimEnd {
    ClaimKey key_;
    ClaimOwner owner_;

    /// False: it is certain that the request ran nothing, and the key may be used again.
    bool hasRun_ = false;

    /// Not before the caller was told.
    WallTime endedAt_;

    /// When no more effort is made to write this end down.
    MonotonicTime giveUpAt_;

    /// Nothing if the answer is too long to be kept.
    std::optional<ClaimAnswer> answer_;
};

} // namespace cowsliphead
