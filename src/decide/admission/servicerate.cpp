#include "decide/admission/servicerate.h"

namespace cowsliphead
{

namespace
{

constexpr std::chrono::milliseconds Interval{ 500 };

/// Weight of the newest interval.
constexpr double Smoothing = 0.3;

} // namespace

void ServiceRate::served(TokenCost cost, MonotonicTime now)
{
    if (!intervalStart_) {
        intervalStart_ = now;
    }
    intervalCost_ += static_cast<double>(cost);
    if (now - *intervalStart_ >= Interval) {
        closeInterval(now);
    }
}

std::optional<std::chrono::nanoseconds> ServiceRate::timeFor(double cost) const
{
    if (!costPerSecond_ || *costPerSecond_ <= 0) {
        return std::nullopt;
    }
    return std::chrono::duration_cast<std::chrono::nanoseconds>(std::chrono::duration<double>(cost / *costPerSecond_));
}

void ServiceRate::closeInterval(MonotonicTime now)
{
    const auto elapsed = std::chrono::duration<double>(now - *intervalStart_).count();
    const auto rate = intervalCost_ / elapsed;
    costPerSecond_ = costPerSecond_ ? *costPerSecond_ + Smoothing * (rate - *costPerSecond_) : rate;
    intervalStart_ = now;
    intervalCost_ = 0;
}

} // namespace cowsliphead
