#pragma once

namespace cowsliphead
{

/// The result of a request for capacity.
enum class AdmissionVerdict {
    Admitted, ///< It can be sent now.
    Queued, ///< It waits until next() returns it.
    TooManyWaiting, ///< Rejected: the account has too many queued requests.
    DeadlineUnreachable, ///< Rejected early: it would not be served before its deadline.
};

} // namespace cowsliphead
