#include "gateway/pairplacement.h"

#include <utility>

#include "gateway/engineplacement.h"
#include "gateway/gatewaycontext.h"

namespace cowsliphead
{

static_assert(EnginePlacement<PairPlacement>);

PairPlacement::PairPlacement(GatewayContext &context, ServiceName service, std::string sharedParts)
    : context_(context)
    , service_(std::move(service))
    , sharedParts_(std::move(sharedParts))
{
}

bool PairPlacement::readsLongPromptLocally(const placement::Candidates &candidates) const
{
    if (context_.decodeOccupancy(service_) > placement::IdleDecodeOccupancy) {
        return false;
    }
    const auto choice = chooseReader(candidates);
    return choice.engine_ != nullptr && placement::prefillWait(*choice.engine_, context_.gatewayCount_, context_.clock_.now()) > placement::BusyPrefillWait;
}

PrefillChoice PairPlacement::chooseReader(const placement::Candidates &candidates) const
{
    return placement::prefillEngine(sharedParts_, candidates, context_.gatewayCount_, context_.clock_.now());
}

EndpointState *PairPlacement::chooseAnswerer(const placement::Candidates &candidates) const
{
    return placement::leastLoaded(candidates, context_.settings_.domain_, context_.clock_.now(), context_.random_);
}

const EndpointState *PairPlacement::primaryEngine(const placement::Candidates &candidates) const
{
    return placement::primaryEngine(sharedParts_, candidates);
}

std::optional<ExpectedTime> PairPlacement::expectedTime(const placement::Candidates & /*candidates*/) const
{
    return std::nullopt;
}

} // namespace cowsliphead
