#pragma once

#include "decide/claimrequest.h"

namespace cowsliphead
{

/// A request for a claim that has no verdict yet.
struct PendingClaim {
    ClaimRequest request_;

    /// True once a write with the claim was handed to the store, whatever became of it.
    bool mayBeWritten_ = false;
};

} // namespace cowsliphead
