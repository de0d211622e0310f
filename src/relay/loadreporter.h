#pragma once

#include "core/failuredomain.h"
#include "core/instanceid.h"

namespace cowsliphead
{

/// Who reports to a relay: a gateway of its failure domain, or the relay of another failure domain for all gateways there.
struct LoadReporter {
    /// Empty for a gateway of the relay's failure domain.
    FailureDomain domain_{};

    /// Empty for another failure domain, whose relay may change.
    InstanceId gateway_{};

    /// True for a gateway of the relay's failure domain.
    bool isMember() const
    {
        return domain_.isEmpty();
    }

    auto operator<=>(const LoadReporter &) const = default;
};

} // namespace cowsliphead
