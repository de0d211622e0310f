#include "decide/endpointavoidance.h"

#include <algorithm>
#include <chrono>

namespace cowsliphead
{

namespace
{

/// How long a failure counts. A crashed endpoint stays listed for longer; trials renew the failure meanwhile.
constexpr std::chrono::milliseconds AvoidanceTime{ 2000 };

/// How long a failure is told: it counts for AvoidanceTime at all gateways, and the messages take up to a second.
constexpr std::chrono::milliseconds ReportTime{ 3000 };

/// A single gateway may be cut off from a sound endpoint.
constexpr std::uint32_t GatewaysNeeded = 2;

constexpr auto KindsOfUnusable = { EndpointFailureKind::Unreachable, EndpointFailureKind::ClosedUnanswered };

} // namespace

void EndpointAvoidance::sawFailure(IncarnationKey endpoint, EndpointFailureKind kind, MonotonicTime now)
{
    std::erase_if(own_, [now](const auto &item) { return now - item.second.at_ > ReportTime; });
    own_[{ endpoint, kind }] = { now };
}

void EndpointAvoidance::answered(IncarnationKey endpoint, MonotonicTime askedAt)
{
    const auto isRefuted = [endpoint, askedAt](const auto &item) { return item.first.first == endpoint && item.second.at_ <= askedAt; };
    std::erase_if(own_, isRefuted);
    if (std::erase_if(others_, isRefuted) > 0) {
        askedAt_[endpoint] = askedAt;
    }
}

void EndpointAvoidance::setFailuresOfOthers(const EndpointFailures &failures, MonotonicTime now)
{
    others_.clear();
    for (const auto &failure : failures) {
        const auto seenAt = now - failure.age_;
        const auto asked = askedAt_.find(failure.endpoint_);
        if (failure.age_ <= AvoidanceTime && (asked == askedAt_.end() || seenAt > asked->second)) {
            others_[{ failure.endpoint_, failure.kind_ }] = { seenAt, failure.gateways_ };
        }
    }
    std::erase_if(askedAt_, [now](const auto &item) { return now - item.second > ReportTime; });
}

EndpointFailures EndpointAvoidance::ownFailures(MonotonicTime now) const
{
    EndpointFailures failures;
    for (const auto &[key, sighting] : own_) {
        const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(now - sighting.at_);
        if (age <= ReportTime) {
            failures.push_back({ key.first, key.second, 1, age });
        }
    }
    return failures;
}

std::set<IncarnationKey> EndpointAvoidance::avoidedOf(const std::vector<IncarnationKey> &endpoints, MonotonicTime now) const
{
    std::set<IncarnationKey> avoided;
    std::vector<std::pair<MonotonicTime, IncarnationKey>> reported;
    for (const auto endpoint : endpoints) {
        if (sawReplaced(endpoint, now)) {
            avoided.insert(endpoint);
        } else if (const auto since = avoidedSince(endpoint, now)) {
            reported.emplace_back(*since, endpoint);
        }
    }
    std::sort(reported.rbegin(), reported.rend());
    reported.resize(std::min(reported.size(), endpoints.size() / 2));
    for (const auto &[since, endpoint] : reported) {
        avoided.insert(endpoint);
    }
    return avoided;
}

bool EndpointAvoidance::isEmpty() const
{
    return own_.empty() && others_.empty();
}

const EndpointAvoidance::Sighting *EndpointAvoidance::recent(const Sightings &sightings, FailureKey key, MonotonicTime now)
{
    const auto found = sightings.find(key);
    return found != sightings.end() && now - found->second.at_ <= AvoidanceTime ? &found->second : nullptr;
}

std::optional<MonotonicTime> EndpointAvoidance::avoidedSince(IncarnationKey endpoint, MonotonicTime now) const
{
    if (const auto *replaced = recent(others_, { endpoint, EndpointFailureKind::Replaced }, now)) {
        return replaced->at_;
    }
    std::uint32_t others = 0;
    std::uint32_t own = 0;
    auto latest = MonotonicTime::min();
    for (const auto kind : KindsOfUnusable) {
        if (const auto *sighting = recent(others_, { endpoint, kind }, now)) {
            // One gateway may have seen both kinds.
            others = std::max(others, sighting->gateways_);
            latest = std::max(latest, sighting->at_);
        }
        if (const auto *sighting = recent(own_, { endpoint, kind }, now)) {
            own = 1;
            latest = std::max(latest, sighting->at_);
        }
    }
    return others + own >= GatewaysNeeded ? std::optional(latest) : std::nullopt;
}

bool EndpointAvoidance::sawReplaced(IncarnationKey endpoint, MonotonicTime now) const
{
    return recent(own_, { endpoint, EndpointFailureKind::Replaced }, now) != nullptr;
}

} // namespace cowsliphead
