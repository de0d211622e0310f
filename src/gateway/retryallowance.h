#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>

#include "core/instanceid.h"
#include "core/time.h"

namespace cowsliphead
{

/// This gateway's share of the retry budget, the retries that all gateways together may send to a service. Each share depends only on the
/// number of gateways, so the total stays within the bound without communication between them. Beyond that, what does not fit into one share
/// can be lent to other gateways through the pools of the relays, which hold the part of the bound that the shares leave. Thread safety: owner
/// task only.
class RetryAllowance
{
public:
    /// ratio: retries for each request. reserve: additional retries for all gateways together in each period.
    RetryAllowance(double ratio, double reserve);

    /// Changes the bounds, as for the constructor; unused retries are limited to the new share.
    void setBounds(double ratio, double reserve);

    void setGatewayCount(std::size_t count);

    void requestArrived();

    /// The part of the reserve that the pools may hold. The shares leave more, since deposits that are under way count as well.
    static double poolPart(double reserve);

    /// Gives what does not fit into the share to the pool, once the previous deposit has arrived there. Returns all that was given so far, in whole
    /// retries.
    std::uint64_t deposit(MonotonicTime now);

    /// A relay has answered since the last deposit().
    void depositArrived();

    /// total: all that the relay has granted to this gateway from its pool. Of a relay that was not the last one, it shows only what later ones add.
    void takeGrants(const InstanceId &relay, std::uint64_t total);

    /// Gives back what spend() took, since no endpoint has received the request.
    void refund();

    /// Takes one retry. Returns false if none is left.
    bool spend();

    /// True if spend() would succeed.
    bool hasRetryLeft() const;

private:
    /// Limits what reaches the pools after the period of the requests that it comes from. A busy gateway adds less between two queries.
    static constexpr double MaxSurplus = 4;

    /// Time between two deposits, so that few of them are under way at any time. Whole retries of the time between are dropped. With
    /// 2 s and 4 s, two and one in thousands of random histories of the test exceeded the bound.
    static constexpr std::chrono::milliseconds DepositInterval{ 5000 };

    void add(double retries);

    double ratio_;
    double reserve_;
    std::size_t gateways_;
    double maxRetries_;
    double available_;

    /// What did not fit into the share and was not given to the pool yet.
    double surplus_ = 0;
    std::uint64_t deposited_ = 0;
    MonotonicTime depositedAt_;

    /// Until a relay has answered, whole retries are dropped instead of deposited later. The fraction is kept: otherwise many gateways would complete
    /// a retry with their next request.
    bool isDepositUnderway_ = false;

    /// The relay that granted last, and its total.
    InstanceId grantedBy_;
    std::uint64_t granted_ = 0;
};

} // namespace cowsliphead
