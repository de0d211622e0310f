#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <vector>

#include "experiment/accountload.h"

namespace cowsliphead
{

/// Parameters of a fairness experiment: a fleet and its load, in virtual time.
struct FairnessSetup {
    std::vector<AccountLoad> loads_;

    /// Each request goes to a random daemon, as the platform's load balancer would send it.
    std::size_t daemons_ = 8;

    /// Requests that all endpoints together can run at once, divided evenly among the daemons.
    std::size_t slots_ = 320;
    std::chrono::microseconds timePerToken_{ 10000 };

    /// How long a request may wait for admission.
    std::chrono::milliseconds maxWait_{ 10000 };
    std::chrono::seconds duration_{ 300 };
    std::uint64_t seed_ = 1;
};

} // namespace cowsliphead
