#pragma once

#include <chrono>

namespace cowsliphead
{

/// Intervals and timeouts for fetching newer records.
struct FetchLimits {
    /// From one relay's confirmation to the next request.
    std::chrono::milliseconds interval_{ 2000 };
    /// Between requests while the records are not confirmed.
    std::chrono::milliseconds retryInterval_{ 300 };
    /// A request to a peer has failed after this time without an answer.
    std::chrono::milliseconds answerTimeout_{ 800 };
    /// A request to the store has failed after this time without an answer.
    std::chrono::milliseconds storeTimeout_{ 1500 };
    /// The daemon asks the store itself once its records have been unconfirmed for this long.
    std::chrono::milliseconds storeFallbackDelay_{ 3200 };
    /// Between two requests of one daemon to the store, except for a relay's watch.
    std::chrono::milliseconds storeInterval_{ 1500 };
    /// A peer that did not answer is skipped for this long.
    std::chrono::milliseconds failedPeerDelay_{ 5000 };
};

} // namespace cowsliphead
