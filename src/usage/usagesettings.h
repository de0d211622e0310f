#pragma once

#include <chrono>
#include <cstdint>

namespace cowsliphead
{

/// How a daemon counts and reports usage. All daemons of a fleet need the same, but for the flush interval.
struct UsageSettings {
    std::uint32_t shardCount_ = 1;
    std::chrono::milliseconds windowLength_{ 300000 };

    /// How often changed counters are written; what a killed daemon has counted since the last write is not billed.
    std::chrono::milliseconds flushInterval_{ 500 };

    /// How long after its end a window is sealed.
    std::chrono::milliseconds sealDelay_{ 5000 };
};

} // namespace cowsliphead
