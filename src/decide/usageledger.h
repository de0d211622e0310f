#pragma once

#include <set>
#include <string>
#include <vector>

#include "decide/sealedwindow.h"

namespace cowsliphead
{

/// What a shard's reporters share: one key of the store, whose compare-and-swap gives the order of all seals.
struct UsageLedger {
    /// The newest window that is sealed; 0 before the first.
    UsageWindow lastWindow_ = 0;

    /// All that was ever sealed.
    UsageSums sealed_;

    /// The part of it that came from counters which are gone or about to go.
    UsageSums retired_;

    /// Keys of frozen counters within the retired part that may still be in the store.
    std::set<std::string> retiredCounters_;

    /// Sealed windows that the platform has not confirmed yet, oldest first.
    std::vector<SealedWindow> pending_;

    bool operator==(const UsageLedger &) const = default;
};

} // namespace cowsliphead
