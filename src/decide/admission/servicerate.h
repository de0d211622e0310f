#pragma once

#include <chrono>
#include <optional>

#include "core/time.h"
#include "decide/admission/tokencost.h"

namespace cowsliphead
{

/// The cost served per second, as a moving average over the last seconds. Thread safety: owner task only.
class ServiceRate
{
public:
    /// Adds cost that was served.
    void served(TokenCost cost, MonotonicTime now);

    /// The measurement goes on after a time that is not to be measured. A rate that is too old is discarded.
    void resume(MonotonicTime now);

    /// Returns how long the cost takes at the current rate; nothing while the rate is not known.
    std::optional<std::chrono::nanoseconds> timeFor(double cost) const;

private:
    void closeInterval(MonotonicTime now);

    std::optional<MonotonicTime> intervalStart_;
    MonotonicTime measuredAt_;
    double intervalCost_ = 0;
    std::optional<double> costPerSecond_;
};

} // namespace cowsliphead
