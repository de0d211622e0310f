#pragma once

#include <optional>
#include <string>

#include "core/time.h"
#include "decide/claimanswer.h"
#include "decide/claimowner.h"
#include "decide/claimstate.h"

namespace cowsliphead
{

/// What the store holds for one idempotency key.
struct ClaimEntry {
    std::string fingerprint_;
    ClaimOwner owner_;
    ClaimState state_ = ClaimState::Claimed;

    /// When the entry changed to its state.
    WallTime since_;
    std::optional<ClaimAnswer> answer_;

    bool operator==(const ClaimEntry &) const = default;
};

} // namespace cowsliphead
