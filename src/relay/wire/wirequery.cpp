#include "relay/wire/wirequery.h"

#include <utility>

#include "core/errorcode.h"
#include "relay/wire/messageformat.h"
#include "relay/wire/wirelist.h"

namespace cowsliphead
{

WireQuery toWire(const RelayQuery &query)
{
    return { MessageFormat,
             toWire(query.from_),
             query.isFromRelay_,
             query.isLeaving_,
             optionalToWire<WireAddress>(query.unusableRelay_),
             toWire(query.configuration_),
             toWire(query.endpoints_),
             query.membersOf_.value(),
             query.members_,
             allToWire<WireLoad>(query.loads_),
             allToWire<WireCounts>(query.counts_),
             query.crashes_.knownOf_.value(),
             query.crashes_.knownVersion_,
             allToWire<WireSighting>(query.crashes_.reports_.sightings_),
             allToWire<WireClearance>(query.crashes_.reports_.clearances_),
             allToWire<WireObservation>(query.observations_),
             allToWire<WireFailure>(query.failures_),
             allToWire<WireRetryDeposit>(query.retryDeposits_) };
}

Result<RelayQuery> fromWire(const WireQuery &wire)
{
    if (wire.format_ != MessageFormat) {
        return failure(ErrorCode::CodecMalformed);
    }
    auto loads = loadsFromWire(wire.loads_);
    if (!loads) {
        return tl::unexpected(loads.error());
    }
    auto observations = observationsFromWire(wire.observations_);
    if (!observations) {
        return tl::unexpected(observations.error());
    }
    auto failures = failuresFromWire(wire.failures_);
    if (!failures) {
        return tl::unexpected(failures.error());
    }
    auto retryDeposits = retryDepositsFromWire(wire.retryDeposits_);
    if (!retryDeposits) {
        return tl::unexpected(retryDeposits.error());
    }
    auto counts = allFromWire<MemberCounts>(wire.counts_);
    for (auto &member : counts) {
        member.gateway_ = InstanceId(wire.from_.incarnation_);
    }
    return RelayQuery{
        fromWire(wire.from_),
        wire.isFromRelay_,
        wire.isLeaving_,
        optionalFromWire<PeerAddress>(wire.unusableRelay_),
        fromWire(wire.configuration_),
        fromWire(wire.endpoints_),
        InstanceId(wire.membersOf_),
        wire.members_,
        std::move(*loads),
        std::move(counts),
        { InstanceId(wire.crashesOf_), wire.crashesVersion_, { allFromWire<CrashSighting>(wire.sightings_), allFromWire<CrashClearance>(wire.clearances_) } },
        std::move(*observations),
        std::move(*failures),
        std::move(*retryDeposits),
    };
}

} // namespace cowsliphead
