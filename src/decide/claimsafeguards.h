#pragma once

namespace cowsliphead
{

/// The safeguards that keep a request from running twice. The program uses all of them; tests disable one at a time to show that
/// their check then fails.
struct ClaimSafeguards {
    /// After a write whose answer was lost, the value is read back before any claim is granted.
    bool readsBackLostWrites_ = true;

    /// A batch whose write conflicts with another batcher's write is decided again.
    bool retriesOnConflict_ = true;

    /// A submission that was received before a key was released cannot claim that key.
    bool checksReleaseTime_ = true;

    /// A claim expires for its owner well before the store forgets it.
    bool limitsDispatchTime_ = true;
};

} // namespace cowsliphead
