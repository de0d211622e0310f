#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <vector>

#include "experiment/accountload.h"

namespace cowsliphead
{

/// A fleet and its load, in virtual time.
struct FairnessSetup {
    std::vector<AccountLoad> loads_;

    /// Callers are spread over the daemons at random, as by the platform's balancer.
    std::size_t daemons_ = 8;

    /// Requests that all endpoints run at once, shared out evenly among the daemons.
    std::size_t slots_ = 320;
    std::chrono::microseconds timePerToken_{ 10000 };
    std::chrono::milliseconds claimTimeout_{ 10000 };
    std::chrono::seconds duration_{ 300 };
    std::uint64_t seed_ = 1;
};

} // namespace cowsliphead
