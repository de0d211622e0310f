#pragma once

namespace cowsliphead
{

/// What decides whether a request may be dispatched again.
struct RequestProgress {
    bool mayRunAgain_ = false;

    /// The request may have run: some dispatch was lost or failed.
    bool mayHaveRun_ = false;

    /// Endpoints that may still run it.
    bool hasAttemptsLeft_ = false;

    /// The allowance has room and there is time left.
    bool canAffordRetry_ = false;
};

} // namespace cowsliphead
