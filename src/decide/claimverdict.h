#pragma once

#include <optional>

#include "core/time.h"
#include "decide/claimanswer.h"
#include "decide/claimkey.h"
#include "decide/claimowner.h"
#include "decide/claimverdictkind.h"

namespace cowsliphead
{

/// The answer to a ClaimRequest.
struct ClaimVerdict {
    ClaimKey key_;
    ClaimOwner owner_;
    ClaimVerdictKind kind_ = ClaimVerdictKind::Unavailable;

    /// For a granted claim: no attempt may begin after this time.
    MonotonicTime validUntil_;

    /// Set for a replay.
    std::optional<ClaimAnswer> answer_;
};

} // namespace cowsliphead
