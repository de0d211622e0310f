#include "gateway/placement.h"

#include <algorithm>

#include <xxhash.h>

namespace cowsliphead::placement
{

namespace
{

/// Traffic between failure domains costs more than within one; an endpoint of another domain is chosen only if its load is lower by this
/// factor.
constexpr double RemoteDomainFactor = 1.6;

/// Reading a long prompt delays the streams on the same engine; such an engine is chosen only if its load is lower by this factor.
constexpr double PrefillingFactor = 3.0;

/// Cost of fetching a prompt's missing shared parts, as time in the queue: the transfer, which takes twice as long between failure domains,
/// and its price.
constexpr std::chrono::milliseconds FetchPenalty{ 400 };

/// Number of engines that may read a given prompt. With more, each engine would need more shared parts than its cache holds.
constexpr std::size_t MaxPrefillCandidates = 2;

/// Traffic between failure domains costs more than within one; an engine of another domain is chosen only if its wait is shorter by this
/// time.
constexpr std::chrono::milliseconds RemoteDomainPenalty{ 10 };

double loadOf(const EndpointState &state, const FailureDomain &localDomain, MonotonicTime now)
{
    const auto others = state.loadOfOthers(now).value_or(EndpointLoad{});
    const double slots = std::max<std::uint32_t>(1, state.entry_.slots_);
    const double domainFactor = state.entry_.domain_ == localDomain ? 1.0 : RemoteDomainFactor;
    const bool isReading = !state.prefillQueue_.isEmpty() || others.promptTokens_ > 0;
    const double prefillFactor = isReading ? PrefillingFactor : 1.0;
    return (state.running_ + others.running_ + 1) / slots * state.latencyRatio_.value() * domainFactor * prefillFactor;
}

std::uint64_t rankOf(const std::string &sharedParts, const EndpointState &state)
{
    return XXH3_64bits_withSeed(sharedParts.data(), sharedParts.size(), XXH3_64bits(state.entry_.id_.value().data(), state.entry_.id_.value().size()));
}

} // namespace

EndpointState *leastLoaded(const Candidates &candidates, const FailureDomain &localDomain, MonotonicTime now, std::mt19937_64 &random)
{
    Candidates best;
    double bestLoad = 0;
    for (auto *candidate : candidates) {
        const double load = loadOf(*candidate, localDomain, now);
        if (best.empty() || load < bestLoad) {
            best = { candidate };
            bestLoad = load;
        } else if (load == bestLoad) {
            best.push_back(candidate);
        }
    }
    return best.empty() ? nullptr : best[random() % best.size()];
}

std::uint64_t queuedTokens(const EndpointState &state, std::size_t gateways, MonotonicTime now)
{
    const auto own = state.prefillQueue_.tokens();
    const auto others = state.loadOfOthers(now);
    return others ? own + others->promptTokens_ : own * std::max<std::size_t>(1, gateways);
}

std::uint32_t runningRequests(const EndpointState &state, std::size_t gateways, MonotonicTime now)
{
    const auto others = state.loadOfOthers(now);
    return others ? state.running_ + others->running_ : state.running_ * static_cast<std::uint32_t>(std::max<std::size_t>(1, gateways));
}

std::chrono::milliseconds prefillWait(const EndpointState &state, std::size_t gateways, MonotonicTime now)
{
    return state.prefillQueue_.waitTime(now, queuedTokens(state, gateways, now));
}

PrefillChoice prefillEngine(const std::string &sharedParts, const Candidates &candidates, std::size_t gateways, MonotonicTime now)
{
    if (candidates.empty()) {
        return {};
    }
    Candidates ranked = candidates;
    std::sort(ranked.begin(), ranked.end(), [&sharedParts](const EndpointState *left, const EndpointState *right) {
        return rankOf(sharedParts, *left) > rankOf(sharedParts, *right);
    });
    EndpointState *primary = ranked.front();
    EndpointState *best = primary;
    auto shortestWait = prefillWait(*primary, gateways, now);
    ranked.resize(std::min(ranked.size(), MaxPrefillCandidates));
    for (auto *candidate : ranked) {
        const auto wait = prefillWait(*candidate, gateways, now) + FetchPenalty;
        if (candidate != primary && wait < shortestWait) {
            best = candidate;
            shortestWait = wait;
        }
    }
    if (best != primary) {
        return { best, primary };
    }
    // A primary engine that was started recently, or that evicted the parts, fetches them from the second engine.
    return { primary, ranked.size() > 1 ? ranked[1] : nullptr };
}

const EndpointState *primaryEngine(const std::string &sharedParts, const Candidates &candidates)
{
    const auto first = std::max_element(candidates.begin(), candidates.end(), [&sharedParts](const EndpointState *left, const EndpointState *right) {
        return rankOf(sharedParts, *left) < rankOf(sharedParts, *right);
    });
    return first == candidates.end() ? nullptr : *first;
}

EndpointState *shortestQueue(const Candidates &candidates, const FailureDomain &localDomain, std::size_t gateways, MonotonicTime now)
{
    const auto waitOf = [&](const EndpointState *state) {
        return prefillWait(*state, gateways, now) + (state->entry_.domain_ == localDomain ? std::chrono::milliseconds(0) : RemoteDomainPenalty);
    };
    const auto shortest = std::min_element(
        candidates.begin(), candidates.end(), [&](const EndpointState *left, const EndpointState *right) { return waitOf(left) < waitOf(right); });
    return shortest == candidates.end() ? nullptr : *shortest;
}

} // namespace cowsliphead::placement
