#pragma once

#include <cstddef>

namespace cowsliphead
{

/// This gateway's share of the retries that all gateways may send to a service. Shares are fixed by the number of gateways, so that
/// their sum stays within the bound without a message between them.
class RetryAllowance
{
public:
    /// ratio: retries allowed for each request. reserve: what all gateways together may spend beyond that in one period.
    /// Thread safety: owner task only.
    RetryAllowance(double ratio, double reserve);

    /// ratio and reserve as above; what was saved up stays within the new share. Thread safety: owner task only.
    void setBounds(double ratio, double reserve);

    /// Thread safety: owner task only.
    void setGatewayCount(std::size_t count);

    /// Thread safety: owner task only.
    void requestArrived();

    /// Takes one retry if there is room; returns whether there was. Thread safety: owner task only.
    bool spend();

    /// True if spend() would succeed. Thread safety: owner task only.
    bool hasRoom() const;

private:
    double ratio_;
    double reserve_;
    std::size_t gateways_;
    double largest_;
    double room_;
};

} // namespace cowsliphead
