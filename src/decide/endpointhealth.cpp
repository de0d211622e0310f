#include "decide/endpointhealth.h"

#include <algorithm>

namespace cowsliphead
{

namespace
{

constexpr std::chrono::milliseconds CrashAvoidance{ 1000 };

/// A full endpoint has a free slot after about one short request.
constexpr std::chrono::milliseconds RefusalAvoidance{ 250 };
constexpr std::chrono::milliseconds SilenceAvoidance{ 5000 };
constexpr std::chrono::milliseconds MaxAvoidance{ 30000 };
constexpr int GrowthFactor = 2;

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
    backoffs_.erase(endpoint);
}

bool EndpointHealth::isAvoided(const EndpointId &endpoint, MonotonicTime now) const
{
    const auto found = backoffs_.find(endpoint);
    return found != backoffs_.end() && now < found->second.avoidedUntil_;
}

void EndpointHealth::avoid(const EndpointId &endpoint, std::chrono::milliseconds minAvoidance, MonotonicTime now)
{
    auto &backoff = backoffs_[endpoint];
    // All requests in flight fail together when an endpoint crashes; they count as one failure.
    if (now < backoff.avoidedUntil_ && backoff.avoidance_ >= minAvoidance) {
        return;
    }
    backoff.avoidance_ = std::min(std::max(backoff.avoidance_ * GrowthFactor, minAvoidance), MaxAvoidance);
    backoff.avoidedUntil_ = now + backoff.avoidance_;
}

} // namespace cowsliphead
