#include "decide/retrybudget.h"

#include <algorithm>

namespace cowsliphead
{

void RetryBudget::requestArrived(std::uint32_t percent)
{
    reserve_ = std::min(reserve_ + percent, LargestReserve * Retry);
}

bool RetryBudget::mayRetry() const
{
    return reserve_ >= Retry;
}

void RetryBudget::spend()
{
    reserve_ -= Retry;
}

} // namespace cowsliphead
