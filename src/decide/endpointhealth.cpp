#include "decide/endpointhealth.h"

#include <algorithm>

namespace cowsliphead
{

namespace
{

constexpr std::chrono::milliseconds CrashAvoidance{ 1000 };

/// A full endpoint has a free place after about one short request.
constexpr std::chrono::milliseconds RefusalAvoidance{ 250 };
constexpr std::chrono::milliseconds SilenceAvoidance{ 5000 };
constexpr std::chrono::milliseconds MaxAvoidance{ 30000 };
constexpr int Growth = 2;

} // namespace

void EndpointHealth::crashed(const EndpointId &endpoint, MonotonicTime now)
{
    avoid(endpoint, CrashAvoidance, now);
}

void EndpointHealth::wentSilent(const EndpointId &endpoint, MonotonicTime now)
{
    avoid(endpoint, SilenceAvoidance, now);
}

void EndpointHealth::refused(const EndpointId &endpoint, MonotonicTime now)
{
    avoid(endpoint, RefusalAvoidance, now);
}

void EndpointHealth::answered(const EndpointId &endpoint)
{
    marks_.erase(endpoint);
}

bool EndpointHealth::isAvoided(const EndpointId &endpoint, MonotonicTime now) const
{
    const auto found = marks_.find(endpoint);
    return found != marks_.end() && now < found->second.avoidedUntil_;
}

void EndpointHealth::avoid(const EndpointId &endpoint, std::chrono::milliseconds atLeast, MonotonicTime now)
{
    auto &mark = marks_[endpoint];
    // The requests of one crash fail together; they count as one failure.
    if (now < mark.avoidedUntil_ && mark.avoidance_ >= atLeast) {
        return;
    }
    mark.avoidance_ = std::min(std::max(mark.avoidance_ * Growth, atLeast), MaxAvoidance);
    mark.avoidedUntil_ = now + mark.avoidance_;
}

} // namespace cowsliphead
