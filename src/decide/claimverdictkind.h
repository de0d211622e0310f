#pragma once

namespace cowsliphead
{

/// The result of a claim request.
enum class ClaimVerdictKind {
    Granted, ///< It may run now.
    Replayed, ///< It has run, and the answer is stored.
    InUse, ///< Another submission has run, is running or may have run, and its answer is not known.
    Reused, ///< The key belongs to a request with other content, which has run; it is not released any more.
    ReusedInProgress, ///< The key belongs to a request with other content, and may still be released.
    Full, ///< The shard's value has no room for another claim.
    Unavailable, ///< The store did not answer in time.
};

} // namespace cowsliphead
