#pragma once

namespace cowsliphead
{

/// What becomes of a request that needs a claim.
enum class ClaimVerdictKind {
    Granted, ///< It may run now.
    Replayed, ///< It has run, and the answer is known.
    InUse, ///< Another sending has run, is running or may have run, and its answer is not known.
    Reused, ///< The key belongs for good to a request with other content, which has run.
    ReusedInProgress, ///< The key belongs to a request with other content, and may yet be released.
    Full, ///< The store's value has no room for another claim.
    Unavailable, ///< The store did not answer in time.
};

} // namespace cowsliphead
