#pragma once

#include <cstdint>

namespace cowsliphead
{

/// Limits a daemon's retries to a percentage of its requests, so that retries do not add to an overload. Thread safety: owner task
/// only.
class RetryBudget
{
public:
    /// Retries available before any request has arrived, and the maximum that can accumulate.
    static constexpr std::uint32_t LargestReserve = 20;

    /// A request arrived. percent: retries allowed per hundred requests.
    void requestArrived(std::uint32_t percent);

    /// True if the budget allows a retry.
    bool mayRetry() const;

    /// Precondition: mayRetry().
    void spend();

private:
    static constexpr std::uint32_t UnitsPerRetry = 100;

    /// In hundredths of a retry.
    std::uint32_t reserve_ = LargestReserve * UnitsPerRetry;
};

} // namespace cowsliphead
