#include "decide/retrybudget.h"

#include <algorithm>

namespace cowsliphead
{

void RetryBudget::requestArrived(std::uint32_t percent)
{
    reserve_ = std::min(reserve_ + percent, LargestReserve * UnitsPerRetry);
}

bool RetryBudget::mayRetry() const
{
    return reserve_ >= UnitsPerRetry;
}

void RetryBudget::spend()
{
    reserve_ -= UnitsPerRetry;
}

} // namespace cowsliphead
