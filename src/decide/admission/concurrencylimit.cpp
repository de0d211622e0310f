#include "decide/admission/concurrencylimit.h"

#include <algorithm>

namespace cowsliphead
{

namespace
{

constexpr double ShrinkFactor = 0.9;

}

ConcurrencyLimit::ConcurrencyLimit(std::size_t highest)
    : limit_(static_cast<double>(highest))
    , highest_(highest)
{
}

void ConcurrencyLimit::setHighest(std::size_t highest)
{
    // A limit that was not held down follows the slots up at once.
    const bool wasFull = limit_ >= static_cast<double>(highest_);
    highest_ = highest;
    limit_ = wasFull ? static_cast<double>(highest) : std::min(limit_, static_cast<double>(highest));
}

void ConcurrencyLimit::accepted()
{
    limit_ = std::min(limit_ + 1.0 / limit_, static_cast<double>(highest_));
}

void ConcurrencyLimit::refused()
{
    limit_ = std::max(limit_ * ShrinkFactor, 1.0);
}

std::size_t ConcurrencyLimit::limit() const
{
    return static_cast<std::size_t>(limit_);
}

} // namespace cowsliphead
