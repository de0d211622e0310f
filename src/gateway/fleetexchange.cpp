#include "gateway/fleetexchange.h"

#include <algorithm>

#include <xxhash.h>

#include "gateway/gatewaycontext.h"
#include "relay/fleetload.h"
#include "relay/localload.h"

namespace cowsliphead::fleetexchange
{

namespace
{

ServiceKey serviceKeyOf(const ServiceName &service)
{
    return XXH32(service.value().data(), service.value().size(), 0);
}

RetryDeposits deposits(GatewayContext &context)
{
    RetryDeposits deposits;
    for (auto &[service, allowance] : context.retryBudgets_) {
        const RetryDeposit deposit{ serviceKeyOf(service), allowance.deposit(context.clock_.now()), !allowance.hasRetryLeft() };
        if (deposit.total_ > 0 || deposit.isWanted_) {
            deposits.push_back(deposit);
        }
    }
    return deposits;
}

/// A service that is not among the grants has got none.
void takeGrants(GatewayContext &context, const FleetLoad &load)
{
    if (load.grantedBy_.isEmpty()) {
        // The relay keeps no pool.
        return;
    }
    for (auto &[service, allowance] : context.retryBudgets_) {
        const auto isOfService = [key = serviceKeyOf(service)](const RetryGrant &grant) { return grant.service_ == key; };
        const auto grant = std::find_if(load.retryGrants_.begin(), load.retryGrants_.end(), isOfService);
        allowance.takeGrants(load.grantedBy_, grant == load.retryGrants_.end() ? 0 : grant->total_);
        allowance.depositArrived();
    }
}

} // namespace

LocalLoad localLoad(GatewayContext &context)
{
    LocalLoad load{ context.endpoints_.localLoads() };
    const auto now = context.clock_.now();
    // Without answers of a relay, this is what ends the avoidance of endpoints in time.
    context.endpoints_.updateAvoidance(now);
    if (context.usesAdaptiveServing()) {
        load.observations_ = context.endpoints_.speeds().observations(now);
        load.retryDeposits_ = deposits(context);
        load.retryPoolLimit_ = RetryAllowance::poolPart(context.settings_.bounds_.retryReserve_);
        load.failures_ = context.endpoints_.avoided().ownFailures(now);
    }
    return load;
}

void take(GatewayContext &context, const FleetLoad &load)
{
    const auto now = context.clock_.now();
    context.endpoints_.setLoadOfOthers(load.loads_, now);
    if (context.usesAdaptiveServing()) {
        context.endpoints_.speeds().setObservationsOfOthers(load.observations_, now);
        context.endpoints_.setFailuresOfOthers(load.failures_, now);
        takeGrants(context, load);
    }
}

} // namespace cowsliphead::fleetexchange
