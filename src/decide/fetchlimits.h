#pragma once

#include <chrono>

namespace cowsliphead
{

/// How often a daemon asks for newer records, and when it turns elsewhere.
struct FetchLimits {
    /// From one confirmation by a relay to the next question.
    std::chrono::milliseconds interval_{ 2000 };
    /// Between questions while the records are not confirmed.
    std::chrono::milliseconds retryInterval_{ 300 };
    /// A question without an answer for so long has failed.
    std::chrono::milliseconds answerTimeout_{ 800 };
    /// A question to the store without an answer for so long has failed.
    std::chrono::milliseconds storeTimeout_{ 1500 };
    /// Records that nobody has confirmed for so long make the daemon ask the store itself.
    std::chrono::milliseconds storeAfter_{ 3200 };
    /// Between two questions of one daemon to the store, but for a relay's watch.
    std::chrono::milliseconds storeInterval_{ 1500 };
    /// A peer that did not answer is passed over for so long.
    std::chrono::milliseconds peerPause_{ 5000 };
};

} // namespace cowsliphead
