#include "gateway/retryallowance.h"

#include <algorithm>

namespace cowsliphead
{

namespace
{

/// Part of the bound that is used; the rest covers requests and retries that fall on two sides of a period's edge.
constexpr double UsedPart = 0.8;

/// Until the number of gateways is known, the reserve is shared as if there were this many.
constexpr std::size_t AssumedGateways = 64;

double largestShare(double reserve, std::size_t gateways)
{
    return std::max(1.0, reserve / static_cast<double>(gateways));
}

} // namespace

RetryAllowance::RetryAllowance(double ratio, double reserve)
    : ratio_(ratio * UsedPart)
    , reserve_(reserve * UsedPart)
    , gateways_(AssumedGateways)
    , largest_(largestShare(reserve_, gateways_))
    , room_(largest_)
{
}

void RetryAllowance::setBounds(double ratio, double reserve)
{
    ratio_ = ratio * UsedPart;
    reserve_ = reserve * UsedPart;
    largest_ = largestShare(reserve_, gateways_);
    room_ = std::min(room_, largest_);
}

void RetryAllowance::setGatewayCount(std::size_t count)
{
    if (count > 0) {
        gateways_ = count;
        largest_ = largestShare(reserve_, gateways_);
    }
}

void RetryAllowance::requestArrived()
{
    room_ = std::min(largest_, room_ + ratio_);
}

bool RetryAllowance::hasRoom() const
{
    return room_ >= 1.0;
}

bool RetryAllowance::spend()
{
    if (!hasRoom()) {
        return false;
    }
    room_ -= 1.0;
    return true;
}

} // namespace cowsliphead
