#pragma once

#include <chrono>
#include <cstdint>

#include "decide/usagewindow.h"

namespace cowsliphead
{

/// How usage is reported. All daemons of a fleet need the same.
struct ReporterSettings {
    std::uint32_t shard_ = 0;
    std::chrono::milliseconds windowLength_{ 300000 };

    /// How long after the end of a window it is sealed: what daemons still have to write for it arrives before.
    std::chrono::milliseconds sealDelay_{ 5000 };

    /// A counter that stays unchanged for this many windows is frozen.
    UsageWindow freezeAfter_ = 12;

    /// A frozen counter is erased after this many windows. Longer than a usage writer's unconfirmedWriteTimeout_.
    UsageWindow eraseAfter_ = 288;
};

} // namespace cowsliphead
