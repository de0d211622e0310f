#pragma once

#include <system_error>

#include "core/outcome.h"
#include "decide/claimverdictkind.h"

namespace cowsliphead
{

/// The error and the outcome that a caller gets when its claim was not granted.
struct ClaimRefusal {
    std::error_code code_;
    Outcome outcome_ = Outcome::Unknown;
};

/// Precondition: the verdict is neither Granted nor Replayed. Thread safety: any thread.
ClaimRefusal claimRefusal(ClaimVerdictKind kind);

/// The outcome of a request that is refused before its claim was requested. An earlier submission with the same idempotency key may
/// have run, so only a request without such a key is certain not to have run. Thread safety: any thread.
Outcome unclaimedOutcome(bool hasIdempotencyKey);

} // namespace cowsliphead
