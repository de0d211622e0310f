#pragma once

#include <chrono>
#include <deque>
#include <optional>

#include "core/time.h"
#include "decide/scaling/scaleload.h"
#include "decide/scaling/stagecounts.h"

namespace cowsliphead
{

/// The need of a service: the highest load of the last 10 s and its trend.
/// Thread safety: as any value type.
class ScaleNeed
{
public:
    /// Adds the load at a moment. Precondition: now does not decrease.
    void add(const ScaleLoad &load, MonotonicTime now);

    /// Returns the load to expect when an endpoint that is ordered now has started; nothing if the load has not been reported for a while.
    std::optional<ScaleLoad> expected(std::chrono::milliseconds bootTime, MonotonicTime now) const;

    /// True if the load has been reported without a gap for the whole time over which the highest value counts.
    bool isCovered(MonotonicTime now) const;

private:
    struct Sample {
        MonotonicTime at_;
        ScaleLoad load_;
    };

    /// Returns the change per second, from the means of the older and the newer half of the time; zero where the load falls or hardly grows.
    ScaleLoad growth(MonotonicTime now) const;

    std::deque<Sample> samples_;
    MonotonicTime reportedSince_;
};

/// Returns how many endpoints, of which the present proportion prefills, carry the load with headroom for bursts. Thread safety: any thread.
std::uint32_t endpointsNeeded(const ScaleLoad &load, const StageCounts &present);

} // namespace cowsliphead
