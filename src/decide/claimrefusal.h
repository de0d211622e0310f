#pragma once

#include <system_error>

#include "core/outcome.h"
#include "decide/claimverdictkind.h"

namespace cowsliphead
{

/// What a caller is told whose claim was not granted.
struct ClaimRefusal {
    std::error_code code_;
    Outcome outcome_ = Outcome::Unknown;
};

/// Precondition: the verdict is neither Granted nor Replayed. Thread safety: any thread.
ClaimRefusal claimRefusal(ClaimVerdictKind kind);

/// The outcome of a request that is refused before its claim was asked for. Nothing is known of earlier sendings with the
/// same idempotency key, so that only a request without one is certain not to have run. Thread safety: any thread.
Outcome unclaimedOutcome(bool hasIdempotencyKey);

} // namespace cowsliphead
