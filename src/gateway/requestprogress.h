#pragma once

namespace cowsliphead
{

/// The state that decides whether a request may be dispatched again.
struct RequestProgress {
    bool mayRunAgain_ = false;

    /// The request may have run: a dispatch was lost or failed.
    bool mayHaveRun_ = false;

    /// The maximum number of runs is not reached.
    bool hasAttemptsLeft_ = false;

    /// The retry budget allows another dispatch, or no endpoint has received the request yet.
    bool isWithinRetryBudget_ = false;
};

} // namespace cowsliphead
