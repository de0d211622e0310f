#pragma once

#include <cstdint>
#include <vector>

namespace cowsliphead
{

/// A short form of a service's name, for messages between gateways.
using ServiceKey = std::uint32_t;

/// What a gateway has given to the pool of unused retries of a service since it started.
struct RetryDeposit {
    ServiceKey service_ = 0;
    std::uint64_t total_ = 0;

    /// The gateway has less than one retry left.
    bool isWanted_ = false;

    auto operator<=>(const RetryDeposit &) const = default;
};

/// Each service at most once.
using RetryDeposits = std::vector<RetryDeposit>;

} // namespace cowsliphead
