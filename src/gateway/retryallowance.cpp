#include "gateway/retryallowance.h"

#include <algorithm>
#include <cmath>

namespace cowsliphead
{

namespace
{

/// The part of the bound that is used; the rest allows for requests and their retries that fall into different periods.
constexpr double UsedPart = 0.8;

/// With a fifth, one in 300 random histories of the test exceeded the bound by up to 12 retries, because of deposits under way.
constexpr double PoolPart = 0.1;

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
        available_ = std::min(available_, maxRetries_);
    }
}

void RetryAllowance::requestArrived()
{
    add(ratio_);
}

void RetryAllowance::add(double retries)
{
    const double total = available_ + retries;
    available_ = std::min(maxRetries_, total);
    surplus_ += total - available_;
    if (isDepositUnderway_ || surplus_ >= MaxSurplus) {
        surplus_ -= std::floor(surplus_);
    }
}

double RetryAllowance::poolPart(double reserve)
{
    return reserve * PoolPart;
}

std::uint64_t RetryAllowance::deposit(MonotonicTime now)
{
    if (surplus_ >= 1 && !isDepositUnderway_ && now - depositedAt_ >= DepositInterval) {
        ++deposited_;
        depositedAt_ = now;
        isDepositUnderway_ = true;
    }
    surplus_ -= std::floor(surplus_);
    return deposited_;
}

void RetryAllowance::depositArrived()
{
    isDepositUnderway_ = false;
}

void RetryAllowance::takeGrants(const InstanceId &relay, std::uint64_t total)
{
    if (relay == grantedBy_ && total > granted_) {
        add(static_cast<double>(total - granted_));
    }
    granted_ = relay == grantedBy_ ? std::max(granted_, total) : total;
    grantedBy_ = relay;
}

void RetryAllowance::refund()
{
    add(1);
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
