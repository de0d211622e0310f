#pragma once

namespace cowsliphead
{

/// What becomes of a request that asks for capacity.
enum class AdmissionVerdict {
    Admitted, ///< It can be sent now.
    Queued, ///< It waits; next() gives it out when its turn comes.
    TooManyWaiting, ///< Refused: the account has enough that waits.
    DeadlineUnreachable, ///< Refused early: it would not be served in time.
};

} // namespace cowsliphead
