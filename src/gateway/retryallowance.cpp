#include "gateway/retryallowance.h"

#include <algorithm>

namespace cowsliphead
{

namespace
{

/// The part of the bound that is used; the rest allows for requests and their retries that fall into different periods.
constexpr double UsedPart = 0.8;

/// Number of gateways assumed until it is known.
constexpr std::size_t AssumedGateways = 64;

double retriesPerGateway(double reserve, std::size_t gateways)
{
    return std::max(1.0, reserve / static_cast<double>(gateways));
}

} // namespace

RetryAllowance::RetryAllowance(double ratio, double reserve)
    : ratio_(ratio * UsedPart)
    , reserve_(reserve * UsedPart)
    , gateways_(AssumedGateways)
    , maxRetries_(retriesPerGateway(reserve_, gateways_))
    , available_(maxRetries_)
{
}

void RetryAllowance::setBounds(double ratio, double reserve)
{
    ratio_ = ratio * UsedPart;
    reserve_ = reserve * UsedPart;
    maxRetries_ = retriesPerGateway(reserve_, gateways_);
    available_ = std::min(available_, maxRetries_);
}

void RetryAllowance::setGatewayCount(std::size_t count)
{
    if (count > 0) {
        gateways_ = count;
        maxRetries_ = retriesPerGateway(reserve_, gateways_);
    }
}

void RetryAllowance::requestArrived()
{
    available_ = std::min(maxRetries_, available_ + ratio_);
}

bool RetryAllowance::hasRetryLeft() const
{
    return available_ >= 1.0;
}

bool RetryAllowance::spend()
{
    if (!hasRetryLeft()) {
        return false;
    }
    available_ -= 1.0;
    return true;
}

} // namespace cowsliphead
