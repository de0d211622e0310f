#pragma once

#include <cstdint>

#include "core/accountid.h"

namespace cowsliphead
{

/// How one client account fared in an experiment.
struct AccountStatistics {
    AccountId account_;
    double wantedTokens_ = 0;
    double servedTokens_ = 0;

    /// What the account is due by its weight: all that it wants, or its share of the capacity.
    double fairShareTokens_ = 0;
    std::uint64_t refused_ = 0;

    /// Waited until its deadline in vain; an early refusal would have spared it the wait.
    std::uint64_t expired_ = 0;
};

} // namespace cowsliphead
