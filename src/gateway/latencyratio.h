#pragma once

#include <algorithm>
#include <chrono>

namespace cowsliphead
{

/// Exponentially smoothed ratio of an endpoint's response time to the target latency. Thread safety: owner task only.
class LatencyRatio
{
public:
    /// Precondition: target is positive.
    void addAnswer(std::chrono::nanoseconds responseTime, std::chrono::nanoseconds target)
    {
        const double ratio = static_cast<double>(responseTime.count()) / static_cast<double>(target.count());
        value_ += Weight * (std::min(ratio, Largest) - value_);
    }

    /// A request failed, or was refused. It counts as answered after the target latency, or as late as the recent ones if that is later, so that an
    /// endpoint that fails fast does not seem to be idle.
    void addFailure()
    {
        value_ += Weight * std::max(1.0 - value_, 0.0);
    }

    double value() const
    {
        return std::max(value_, Smallest);
    }

private:
    /// Weight of one response; a change takes effect after about five.
    static constexpr double Weight = 0.2;
    static constexpr double Smallest = 0.1;
    static constexpr double Largest = 8.0;

    double value_ = 0.3;
};

} // namespace cowsliphead
