#include "decide/admission/concurrencylimit.h"

#include <algorithm>

namespace cowsliphead
{

namespace
{

constexpr double ShrinkFactor = 0.9;

}

ConcurrencyLimit::ConcurrencyLimit(std::size_t maximum)
    : limit_(static_cast<double>(maximum))
    , maximum_(maximum)
{
}

void ConcurrencyLimit::setMaximum(std::size_t maximum)
{
    // A limit that is at its maximum follows an increase at once.
    const bool wasAtMaximum = limit_ >= static_cast<double>(maximum_);
    maximum_ = maximum;
    limit_ = wasAtMaximum ? static_cast<double>(maximum) : std::min(limit_, static_cast<double>(maximum));
}

void ConcurrencyLimit::accepted()
{
    limit_ = std::min(limit_ + 1.0 / limit_, static_cast<double>(maximum_));
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
