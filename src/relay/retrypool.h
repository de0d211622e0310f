#pragma once

#include <chrono>
#include <cstdint>
#include <map>

#include "core/instanceid.h"
#include "core/time.h"
#include "relay/retrydeposit.h"
#include "relay/retrygrant.h"

namespace cowsliphead
{

/// The unused retries that the gateways of a failure domain have deposited with their relay, which grants them to gateways that have none
/// left. Totals only grow, and the first total of a gateway counts as no increase, so messages that are lost, repeated or late, a new relay
/// and a restarted gateway may lose retries but never create any. Thread safety: owner task only.
class RetryPool
{
public:
    /// Sets how many retries of each service the pool holds; any more are dropped.
    void setLimit(std::uint64_t limit);

    /// Takes a gateway's deposits, and grants it a retry of each service that it wants one of and that the pool has. Returns all that was ever
    /// granted to it. A service that the gateway names for the first time gets no grant yet: the gateway would take the first total it sees
    /// as no increase.
    RetryGrants exchange(const InstanceId &gateway, const RetryDeposits &deposits, MonotonicTime now);

    /// Drops the retries, but not the totals, when the gateway ceases to be the relay.
    void clear();

private:
    /// Totals of a gateway that has ended are kept for this time. A gateway that returns later can only lose retries.
    static constexpr std::chrono::minutes SilenceLimit{ 10 };

    struct Totals {
        std::uint64_t deposited_ = 0;
        std::uint64_t granted_ = 0;
    };

    struct Gateway {
        std::map<ServiceKey, Totals> services_;
        MonotonicTime heardAt_;
    };

    std::uint64_t limit_ = 0;
    std::map<ServiceKey, std::uint64_t> retries_;
    std::map<InstanceId, Gateway> gateways_;
};

} // namespace cowsliphead
