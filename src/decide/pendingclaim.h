#pragma once

#include "decide/claimrequest.h"

namespace cowsliphead
{

/// A claim request that has no verdict yet.
struct PendingClaim {
    ClaimRequest request_;

    /// True once a write that contains the claim was passed to the store, whether or not it succeeded.
    bool mayBeWritten_ = false;
};

} // namespace cowsliphead
