#pragma once

#include <chrono>
#include <cstdint>
#include <vector>

#include "core/accountid.h"
#include "core/modelid.h"

namespace cowsliphead
{

/// A client account's weight, its limits and the models that it may use.
struct AccountRecord {
    AccountId account_;

    /// Share of the fleet's token capacity, relative to the other accounts' weights.
    std::uint32_t weight_ = 1;

    /// Maximum number of requests in flight at one daemon; 0 means no limit.
    std::uint32_t maxConcurrentRequests_ = 0;

    /// Maximum time since a daemon's records were last confirmed to be current, for instance before it was cut off from the store;
    /// beyond it the daemon refuses the account's requests. 0 means no limit.
    std::chrono::milliseconds maxStaleness_{ 0 };

    /// Models that the account may use; empty means all.
    std::vector<ModelId> models_;
};

} // namespace cowsliphead
