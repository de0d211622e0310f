#pragma once

#include <cstdint>

#include "core/accountid.h"

namespace cowsliphead
{

/// What one client account requested and received in an experiment.
struct AccountStatistics {
    AccountId account_;
    double requestedTokens_ = 0;
    double servedTokens_ = 0;

    /// The account's weighted max-min fair share of the capacity; at most requestedTokens_.
    double fairShareTokens_ = 0;
    std::uint64_t refused_ = 0;

    /// Requests that waited until their deadline without being admitted. Refusing them on arrival would have avoided the wait.
    std::uint64_t expired_ = 0;
};

} // namespace cowsliphead
