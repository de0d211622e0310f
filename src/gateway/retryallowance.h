#pragma once

#include <cstddef>

namespace cowsliphead
{

/// This gateway's share of the retry budget, the retries that all gateways together may send to a service. Each share depends only on the
/// number of gateways, so the total stays within the bound without communication between them. Thread safety: owner task only.
class RetryAllowance
{
public:
    /// ratio: retries for each request. reserve: additional retries for all gateways together in each period.
    RetryAllowance(double ratio, double reserve);

    /// Changes the bounds, as for the constructor; unused retries are limited to the new share.
    void setBounds(double ratio, double reserve);

    void setGatewayCount(std::size_t count);

    void requestArrived();

    /// Takes one retry. Returns false if none is left.
    bool spend();

    /// True if spend() would succeed.
    bool hasRetryLeft() const;

private:
    double ratio_;
    double reserve_;
    std::size_t gateways_;
    double maxRetries_;
    double available_;
};

} // namespace cowsliphead
