#pragma once

namespace cowsliphead
{

/// The guards that keep a request from running twice. The program has them all; tests take one away to see their proof fail.
struct ClaimSafeguards {
    /// A write whose answer was lost is read back before anything is granted.
    bool readsBackLostWrites_ = true;

    /// A batch that another batcher overtook is decided anew.
    bool retriesOnConflict_ = true;

    /// A sending older than a release does not claim the released key.
    bool checksReleaseTime_ = true;

    /// A claim lapses for its owner well before the store forgets it.
    bool limitsDispatchTime_ = true;
};

} // namespace cowsliphead
