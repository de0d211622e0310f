#pragma once

#include <chrono>
#include <optional>

namespace cowsliphead
{

/// Exponentially smoothed time that a target takes for a request once it was sent. Thread safety: owner task only.
class ResponseTime
{
public:
    void add(std::chrono::nanoseconds time)
    {
        mean_ = mean_ ? *mean_ + (time - *mean_) / Smoothing : time;
    }

    /// Nothing before the first response.
    std::optional<std::chrono::nanoseconds> mean() const
    {
        return mean_;
    }

private:
    /// A change takes effect after about this many responses.
    static constexpr int Smoothing = 10;

    std::optional<std::chrono::nanoseconds> mean_;
};

} // namespace cowsliphead
