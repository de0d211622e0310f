#pragma once

#include <chrono>
#include <optional>

#include "core/time.h"
#include "decide/admission/tokencost.h"

namespace cowsliphead
{

/// How much cost is served a second, as a moving average over the last seconds.
class ServiceRate
{
public:
    /// So much was served. Thread safety: owner task only.
    void served(TokenCost cost, MonotonicTime now);

    /// How long the cost takes at the present rate; nothing while the rate is not known. Thread safety: owner task only.
    std::optional<std::chrono::nanoseconds> timeFor(double cost) const;

private:
    void closeInterval(MonotonicTime now);

    std::optional<MonotonicTime> intervalStart_;
    double intervalCost_ = 0;
    std::optional<double> costPerSecond_;
};

} // namespace cowsliphead
