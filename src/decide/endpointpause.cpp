#include "decide/endpointpause.h"

#include <algorithm>

namespace cowsliphead
{

void EndpointPause::begin(std::chrono::milliseconds duration, MonotonicTime now)
{
    const auto until = now + std::min<std::chrono::milliseconds>(duration, MaxPause);
    until_ = std::max(until_.value_or(until), until);
}

void EndpointPause::answered(MonotonicTime now)
{
    // An answer during the pause belongs to a request from before it.
    if (until_ && now >= *until_) {
        until_.reset();
    }
}

std::optional<std::chrono::milliseconds> EndpointPause::remaining(MonotonicTime now) const
{
    if (!until_ || now >= *until_) {
        return std::nullopt;
    }
    return std::chrono::ceil<std::chrono::milliseconds>(*until_ - now);
}

bool EndpointPause::mayDispatch(std::uint32_t running, MonotonicTime now) const
{
    return !until_ || (now >= *until_ && running == 0);
}

} // namespace cowsliphead
