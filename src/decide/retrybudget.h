#pragma once

#include <cstdint>

namespace cowsliphead
{

/// Bounds a daemon's retries to a share of its requests, so that retries do not add to an overload.
class RetryBudget
{
public:
    /// Retries that a daemon may spend before it has seen requests, and the most that it saves up.
    static constexpr std::uint32_t LargestReserve = 20;

    /// A request came in. percent: retries allowed for each hundred requests. Thread safety: owner task only.
    void requestArrived(std::uint32_t percent);

    /// True if a retry may be spent. Thread safety: owner task only.
    bool mayRetry() const;

    /// Precondition: mayRetry(). Thread safety: owner task only.
    void spend();

private:
    static constexpr std::uint32_t Retry = 100;

    /// In hundredths of a retry.
    std::uint32_t reserve_ = LargestReserve * Retry;
};

} // namespace cowsliphead
