#pragma once

#include <algorithm>
#include <chrono>

namespace cowsliphead
{

/// How late an endpoint's answers come, as a smoothed share of the time that they should take.
class LatenessLevel
{
public:
    /// Precondition: target is positive. Thread safety: owner task only.
    void answered(std::chrono::nanoseconds taken, std::chrono::nanoseconds target)
    {
        const double share = static_cast<double>(taken.count()) / static_cast<double>(target.count());
        level_ += Weight * (std::min(share, Largest) - level_);
    }

    /// Thread safety: owner task only.
    double level() const
    {
        return std::max(level_, Smallest);
    }

private:
    /// Weight of one answer; a change shows after about five.
    static constexpr double Weight = 0.2;
    static constexpr double Smallest = 0.1;
    static constexpr double Largest = 8.0;

    double level_ = 0.3;
};

} // namespace cowsliphead
