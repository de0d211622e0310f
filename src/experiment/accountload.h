#pragma once

#include <cstdint>

#include "core/accountid.h"

namespace cowsliphead
{

/// The load that one client account puts on the fleet in an experiment.
struct AccountLoad {
    AccountId account_;
    std::uint32_t weight_ = 1;
    double requestsPerSecond_ = 0;
    double meanTokens_ = 100;
};

} // namespace cowsliphead
