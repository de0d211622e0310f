#include "gateway/plaincapacity.h"

#include <algorithm>
#include <utility>

#include "gateway/endpointroom.h"
#include "gateway/gatewaycontext.h"

namespace cowsliphead
{

PlainCapacity::PlainCapacity(GatewayContext &context, ServiceName service)
    : context_(context)
    , service_(std::move(service))
{
}

bool PlainCapacity::hasRoom(MonotonicTime now) const
{
    const auto candidates = context_.endpoints_.candidates(service_, EngineStage::None, {}, now);
    return candidates.empty()
        || std::any_of(candidates.begin(), candidates.end(), [&](const auto *state) { return endpointroom::hasRoom(*state, context_.gatewayCount_, now); });
}

bool PlainCapacity::isCertain(MonotonicTime now) const
{
    const auto candidates = context_.endpoints_.candidates(service_, EngineStage::None, {}, now);
    return std::all_of(candidates.begin(), candidates.end(), [now](const auto *state) { return endpointroom::isCertain(*state, now); });
}

} // namespace cowsliphead
