#pragma once

#include <compare>
#include <cstdint>

#include "core/failuredomain.h"
#include "core/servicename.h"

namespace cowsliphead
{

/// How many endpoints of one sort a service is to have in a failure domain.
struct ServerOrder {
    ServiceName service_;
    FailureDomain domain_;

    /// Cheaper ones that may be reclaimed at short notice; they are counted apart from the others.
    bool isReclaimable_ = false;
    std::uint32_t count_ = 0;

    auto operator<=>(const ServerOrder &) const = default;
};

} // namespace cowsliphead
