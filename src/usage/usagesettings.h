#pragma once

#include <chrono>
#include <cstdint>

namespace cowsliphead
{

/// Settings for counting and reporting usage. All daemons of a fleet must use the same values, except for the flush interval.
struct UsageSettings {
    std::uint32_t shardCount_ = 1;
    std::chrono::milliseconds windowLength_{ 300000 };

    /// Interval at which changed counters are written. Usage that a killed daemon has counted since its last write is not billed.
    std::chrono::milliseconds flushInterval_{ 500 };

    /// Time between the end of a window and its sealing.
    std::chrono::milliseconds sealDelay_{ 5000 };
};

} // namespace cowsliphead
