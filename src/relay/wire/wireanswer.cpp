#include "relay/wire/wireanswer.h"

#include <chrono>
#include <cstddef>
#include <utility>

#include "core/errorcode.h"
#include "relay/wire/messageformat.h"
#include "relay/wire/wirelist.h"

namespace cowsliphead
{

namespace
{

/// Of the configuration and of the endpoints.
constexpr std::size_t EraCount = 2;

} // namespace

WireAnswer toWire(const RelayAnswer &answer)
{
    WireAnswer wire;
    wire.format_ = MessageFormat;
    wire.from_ = toWire(answer.from_);
    wire.isRelay_ = answer.status_.isRelay_;
    wire.isFit_ = answer.status_.isFit_;
    wire.isStoreLost_ = answer.status_.isStoreLost_;
    wire.isLeaving_ = answer.status_.isLeaving_;
    wire.redirect_ = optionalToWire<WireAddress>(answer.status_.redirect_);
    wire.configuration_ = answer.configuration_.number_;
    wire.configurationAge_ = answer.configurationAge_ ? answer.configurationAge_->count() : -1;
    wire.configurationUpdate_ = optionalToWire<WireUpdate>(answer.configurationUpdate_);
    wire.endpointUpdate_ = optionalToWire<WireEndpointUpdate>(answer.endpointUpdate_);
    wire.endpoints_ = answer.endpoints_.number_;
    wire.membersVersion_ = answer.membersVersion_;
    if (answer.members_) {
        wire.members_.push_back(allToWire<WireMember>(*answer.members_));
    }
    wire.gateways_ = answer.gateways_;
    wire.loads_ = allToWire<WireLoad>(answer.loads_);
    wire.stored_ = allToWire<WireStored>(answer.stored_);
    wire.crashesVersion_ = answer.crashes_.version_;
    wire.sightings_ = allToWire<WireSighting>(answer.crashes_.reports_.sightings_);
    wire.clearances_ = allToWire<WireClearance>(answer.crashes_.reports_.clearances_);
    wire.observations_ = allToWire<WireObservation>(answer.observations_);
    wire.failures_ = allToWire<WireFailure>(answer.failures_);
    wire.retryGrants_ = allToWire<WireRetryGrant>(answer.retryGrants_);
    if (answer.tellsEras_) {
        wire.eras_ = { answer.configuration_.era_, answer.endpoints_.era_ };
    }
    return wire;
}

Result<RelayAnswer> fromWire(const WireAnswer &wire)
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
    auto retryGrants = retryGrantsFromWire(wire.retryGrants_);
    if (!retryGrants) {
        return tl::unexpected(retryGrants.error());
    }
    RelayAnswer answer;
    answer.from_ = fromWire(wire.from_);
    answer.status_ = RelayStatus{ wire.isRelay_, wire.isFit_, wire.isStoreLost_, wire.isLeaving_, optionalFromWire<PeerAddress>(wire.redirect_) };
    answer.tellsEras_ = wire.eras_.size() >= EraCount;
    answer.configuration_ = { answer.tellsEras_ ? wire.eras_[0] : 0, wire.configuration_ };
    if (wire.configurationAge_ >= 0) {
        answer.configurationAge_ = std::chrono::milliseconds(wire.configurationAge_);
    }
    answer.configurationUpdate_ = optionalFromWire<TextUpdate>(wire.configurationUpdate_);
    answer.endpointUpdate_ = optionalFromWire<EndpointUpdate>(wire.endpointUpdate_);
    answer.endpoints_ = { answer.tellsEras_ ? wire.eras_[1] : 0, wire.endpoints_ };
    answer.membersVersion_ = wire.membersVersion_;
    if (!wire.members_.empty()) {
        answer.members_ = allFromWire<GatewayMember>(wire.members_.front());
    }
    answer.gateways_ = wire.gateways_;
    answer.loads_ = std::move(*loads);
    answer.stored_ = allFromWire<CountsStored>(wire.stored_);
    answer.crashes_ = { wire.crashesVersion_, { allFromWire<CrashSighting>(wire.sightings_), allFromWire<CrashClearance>(wire.clearances_) } };
    answer.observations_ = std::move(*observations);
    answer.failures_ = std::move(*failures);
    answer.retryGrants_ = std::move(*retryGrants);
    return answer;
}

} // namespace cowsliphead
