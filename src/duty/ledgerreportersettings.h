#pragma once

#include <chrono>
#include <cstdint>

#include "decide/usagewindow.h"

namespace cowsliphead
{

/// Settings of the usage reports of one shard. Apart from the shard, all daemons of a fleet need the same values.
struct LedgerReporterSettings {
    std::uint32_t shard_ = 0;
    std::chrono::milliseconds windowLength_{ 300000 };

    /// Time from the end of a window until it is sealed, in which daemons write their remaining usage.
    std::chrono::milliseconds sealDelay_{ 5000 };

    /// A counter that has not changed for this many windows is frozen.
    UsageWindow freezeAfter_ = 12;

    /// A frozen counter is erased after this many windows, which must take longer than a usage writer's unconfirmedWriteTimeout_.
    UsageWindow eraseAfter_ = 288;
};

} // namespace cowsliphead
