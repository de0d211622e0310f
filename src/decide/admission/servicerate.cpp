#include "decide/admission/servicerate.h"

namespace cowsliphead
{

namespace
{

constexpr std::chrono::milliseconds Interval{ 500 };

/// Weight of the newest interval.
constexpr double Smoothing = 0.3;

/// After this time without a measurement, the capacity may be another one.
constexpr std::chrono::seconds RateLifetime{ 10 };

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

void ServiceRate::resume(MonotonicTime now)
{
    intervalStart_ = now;
    intervalCost_ = 0;
    if (now - measuredAt_ > RateLifetime) {
        costPerSecond_.reset();
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
    measuredAt_ = now;
    intervalCost_ = 0;
}

} // namespace cowsliphead
