#pragma once

#include <set>
#include <string>
#include <vector>

#include "decide/sealedwindow.h"

namespace cowsliphead
{

/// The state shared by a shard's reporters: one key of the store, whose compare-and-swap determines the order of all seals.
struct UsageLedger {
    /// The newest window that is sealed; 0 before the first.
    UsageWindow lastWindow_ = 0;

    /// All usage that was ever sealed.
    UsageSums sealed_;

    /// The part of the sealed usage from counters that are deleted or about to be deleted.
    UsageSums retired_;

    /// Keys of the frozen counters included in retired_ that may still be in the store.
    std::set<std::string> retiredCounters_;

    /// Sealed windows that the platform has not confirmed yet, oldest first.
    std::vector<SealedWindow> pending_;

    bool operator==(const UsageLedger &) const = default;
};

} // namespace cowsliphead
