#include "gateway/avoidedendpoints.h"

#include <utility>
#include <vector>

#include "logs/log.h"

namespace cowsliphead
{

namespace
{

/// Part of the requests for an avoided endpoint that may still try it.
constexpr double TrialPart = 0.1;

} // namespace

void AvoidedEndpoints::sawFailure(const EndpointState &state, EndpointFailureKind kind, MonotonicTime now)
{
    avoidance_.sawFailure(state.incarnation_, kind, now);
}

void AvoidedEndpoints::answered(const EndpointState &state, MonotonicTime askedAt)
{
    avoidance_.answered(state.incarnation_, askedAt);
}

void AvoidedEndpoints::setFailuresOfOthers(const EndpointFailures &failures, MonotonicTime now)
{
    avoidance_.setFailuresOfOthers(failures, now);
}

EndpointFailures AvoidedEndpoints::ownFailures(MonotonicTime now) const
{
    return avoidance_.ownFailures(now);
}

void AvoidedEndpoints::update(const States &states, MonotonicTime now)
{
    if (avoidance_.isEmpty() && avoided_.empty()) {
        return;
    }
    std::map<std::pair<ServiceName, EngineStage>, std::vector<IncarnationKey>> groups;
    std::map<IncarnationKey, EndpointId> names;
    for (const auto &[id, state] : states) {
        groups[{ state->entry_.service_, state->entry_.stage_ }].push_back(state->incarnation_);
        names.emplace(state->incarnation_, id);
    }
    std::map<IncarnationKey, EndpointId> avoided;
    for (const auto &[group, endpoints] : groups) {
        for (const auto endpoint : avoidance_.avoidedOf(endpoints, now)) {
            avoided.emplace(endpoint, names.at(endpoint));
            if (!avoided_.contains(endpoint)) {
                logEvent(LogEvent::EndpointAvoided, { { "endpoint", names.at(endpoint).value() }, { "service", group.first.value() } });
            }
        }
    }
    for (const auto &[endpoint, id] : std::exchange(avoided_, std::move(avoided))) {
        if (!avoided_.contains(endpoint)) {
            logEvent(LogEvent::EndpointAvoidanceEnded, { { "endpoint", id.value() }, { "isListed", std::uint64_t(names.contains(endpoint)) } });
        }
    }
}

placement::Candidates AvoidedEndpoints::withoutAvoided(const placement::Candidates &candidates)
{
    if (avoided_.empty()) {
        return candidates;
    }
    placement::Candidates usable;
    placement::Candidates avoided;
    for (auto *candidate : candidates) {
        (contains(*candidate) ? avoided : usable).push_back(candidate);
    }
    if (avoided.empty() || usable.empty()) {
        return candidates;
    }
    // Without load, an avoided endpoint would be preferred to all others. It joins the candidates as often as it would be chosen at random.
    const double share = static_cast<double>(avoided.size()) / static_cast<double>(candidates.size());
    if (std::bernoulli_distribution(TrialPart * share)(random_)) {
        usable.push_back(avoided[random_() % avoided.size()]);
    }
    return usable;
}

bool AvoidedEndpoints::contains(const EndpointState &state) const
{
    return avoided_.contains(state.incarnation_);
}

} // namespace cowsliphead
