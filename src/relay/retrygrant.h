#pragma once

#include <cstdint>
#include <vector>

#include "relay/retrydeposit.h"

namespace cowsliphead
{

/// What a relay has granted to one gateway from the pool of unused retries of a service since the relay started.
struct RetryGrant {
    ServiceKey service_ = 0;
    std::uint64_t total_ = 0;

    auto operator<=>(const RetryGrant &) const = default;
};

/// Each service at most once.
using RetryGrants = std::vector<RetryGrant>;

} // namespace cowsliphead
