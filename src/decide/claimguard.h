#pragma once

namespace cowsliphead
{

/// The guards that keep a request from running twice. The program has them all; tests take one away to see their proof fail.
struct ClaimGuard {
    /// A write whose answer was lost is read back before anything is granted.
    bool settlesLostWrites_ = true;

    /// A batch that another batcher overtook is decided anew.
    bool heedsConflicts_ = true;

    /// A sending older than a release does not claim the released key.
    bool heedsReleaseTime_ = true;

    /// A claim lapses for its owner well before the store forgets it.
    bool limitsDispatch_ = true;
};

} // namespace cowsliphead
