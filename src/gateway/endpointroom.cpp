#include "gateway/endpointroom.h"

#include <algorithm>
#include <cstdint>

namespace cowsliphead::endpointroom
{

namespace
{

/// Requests in flight at an endpoint for each slot, in tenths. An endpoint queues about four requests a slot itself, in their order; requests
/// that wait at the gateways beyond 1.5 a slot were refused although that queue had room.
constexpr std::uint64_t TenthsPerSlot = 40;

/// Twice the longest interval at which a relay is asked.
constexpr std::chrono::milliseconds CertainReportAge{ 500 };

bool isFull(const EndpointState &state, std::uint64_t requests)
{
    return 10 * requests >= TenthsPerSlot * std::max<std::uint32_t>(1, state.entry_.slots_);
}

} // namespace

bool hasRoom(const EndpointState &state, std::size_t gateways, MonotonicTime now)
{
    const auto others = state.loadOfOthers(now);
    return !isFull(state, others ? std::uint64_t(state.running_) + others->running_ : state.running_ * std::max<std::uint64_t>(1, gateways));
}

bool isCertain(const EndpointState &state, MonotonicTime now)
{
    return isFull(state, state.running_) || now - state.othersAt_ <= CertainReportAge;
}

placement::Candidates withRoom(placement::Candidates candidates, std::size_t gateways, MonotonicTime now)
{
    placement::Candidates chosen;
    std::copy_if(candidates.begin(), candidates.end(), std::back_inserter(chosen), [&](const auto *state) { return hasRoom(*state, gateways, now); });
    return chosen.empty() ? candidates : chosen;
}

} // namespace cowsliphead::endpointroom
