#pragma once

#include <cstdint>
#include <map>

#include "decide/peeraddress.h"
#include "relay/retrydeposit.h"

namespace cowsliphead
{

/// Assigns each retry that a gateway deposits to a single relay. Without this, a gateway that returns to a relay after it had another one would
/// deposit with both what it gave in between. Thread safety: owner task only.
class RetryDepositLedger
{
public:
    /// Returns the deposits to report to a relay; their totals count what was assigned to this relay. Retries that were deposited since the
    /// call before are assigned to it, except in its first report, whose totals count as no increase. deposits: with the gateway's totals
    /// since its start.
    RetryDeposits reportTo(const PeerAddress &relay, const RetryDeposits &deposits);

private:
    std::map<ServiceKey, std::uint64_t> assigned_;
    std::map<PeerAddress, std::map<ServiceKey, std::uint64_t>> relays_;
};

} // namespace cowsliphead
