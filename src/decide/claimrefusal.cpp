#include "decide/claimrefusal.h"

#include "core/errorcode.h"

namespace cowsliphead
{

ClaimRefusal claimRefusal(ClaimVerdictKind kind)
{
    switch (kind) {
    case ClaimVerdictKind::Reused:
        return { make_error_code(ErrorCode::IdempotencyKeyReused), Outcome::NotRun };
    case ClaimVerdictKind::ReusedInProgress:
        return { make_error_code(ErrorCode::IdempotencyKeyReused), Outcome::Unknown };
    case ClaimVerdictKind::Full:
        return { make_error_code(ErrorCode::StoreValueTooLarge), Outcome::Unknown };
    case ClaimVerdictKind::Unavailable:
        return { make_error_code(ErrorCode::StoreUnavailable), Outcome::Unknown };
    default:
        return { make_error_code(ErrorCode::IdempotencyKeyInUse), Outcome::Unknown };
    }
}

Outcome unclaimedOutcome(bool hasIdempotencyKey)
{
    return hasIdempotencyKey ? Outcome::Unknown : Outcome::NotRun;
}

} // namespace cowsliphead
