#pragma once

#include <chrono>
#include <cstdint>
#include <vector>

#include "core/accountid.h"
#include "core/modelid.h"

namespace cowsliphead
{

/// A client account: what it is due, and what it may use.
struct AccountRecord {
    AccountId account_;

    /// Share of the fleet's tokens, relative to the other accounts' weights.
    std::uint32_t weight_ = 1;

    /// Requests in flight at one daemon; 0 means no limit.
    std::uint32_t maxConcurrentRequests_ = 0;

    /// How old a cut-off daemon's records may be while it still serves this account; 0 means no limit.
    std::chrono::milliseconds maxStaleness_{ 0 };

    /// Models that the account may use; empty means all.
    std::vector<ModelId> models_;
};

} // namespace cowsliphead
