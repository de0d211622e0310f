#include "serve/endpointselection.h"

#include "records/recordset.h"
#include "serve/candidates.h"
#include "serve/servingcontext.h"

namespace cowsliphead
{

const EndpointRecord *EndpointSelection::choose(ServingContext &context, const RequestTarget &target) const
{
    const auto now = context.clock_.now();
    auto candidates = candidatesFor(*context.records_, target);
    std::erase_if(candidates, [this](const EndpointRecord *candidate) { return failed_.contains(candidate->endpoint_); });
    candidates = preferMatching(candidates, [&context](const EndpointId &endpoint) { return !context.isolationQueue_.isReserved(endpoint); });
    candidates = preferMatching(candidates, [this](const EndpointId &endpoint) { return !deprioritized_.contains(endpoint); });
    candidates = preferMatching(candidates, [&context, now](const EndpointId &endpoint) { return !context.health_.isAvoided(endpoint, now); });
    return context.chooser_.choose(candidates, [&context](const EndpointId &endpoint) { return context.pool_.load(endpoint); });
}

void EndpointSelection::markFailed(const EndpointId &endpoint)
{
    failed_.insert(endpoint);
}

void EndpointSelection::deprioritize(const EndpointId &endpoint)
{
    deprioritized_.insert(endpoint);
}

} // namespace cowsliphead
