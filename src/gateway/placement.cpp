#include "gateway/placement.h"

#include <algorithm>

#include <xxhash.h>

namespace cowsliphead::placement
{

namespace
{

/// A byte between failure domains costs more than one inside; this much more load is borne to avoid it.
constexpr double AwayFactor = 1.6;

/// An engine that reads a long prompt holds up the streams beside it; this much more load elsewhere is borne to avoid that.
constexpr double ReadingFactor = 3.0;

/// What an engine that lacks a prompt's shared parts loses by fetching them, in queue time: the transfer, twice as long between
/// failure domains, and its price.
constexpr std::chrono::milliseconds FetchPenalty{ 400 };

/// Engines that may read a prompt. More would each come to need more shared parts than their caches hold.
constexpr std::size_t MostHomes = 2;

/// A byte between failure domains costs more than one inside; this much more waiting is borne to avoid it.
constexpr std::chrono::milliseconds AwayPenalty{ 10 };

double loadOf(const EndpointState &state, const FailureDomain &home)
{
    const double places = std::max<std::uint32_t>(1, state.entry_.slots_);
    const double away = state.entry_.domain_ == home ? 1.0 : AwayFactor;
    const double reading = state.queue_.isEmpty() ? 1.0 : ReadingFactor;
    return (state.running_ + 1) / places * state.lateness_.level() * away * reading;
}

std::uint64_t rankOf(const std::string &sharedParts, const EndpointState &state)
{
    return XXH3_64bits_withSeed(sharedParts.data(), sharedParts.size(), XXH3_64bits(state.entry_.id_.value().data(), state.entry_.id_.value().size()));
}

} // namespace

EndpointState *leastLoaded(const Candidates &candidates, const FailureDomain &home, std::mt19937_64 &random)
{
    Candidates best;
    double bestLoad = 0;
    for (auto *candidate : candidates) {
        const double load = loadOf(*candidate, home);
        if (best.empty() || load < bestLoad) {
            best = { candidate };
            bestLoad = load;
        } else if (load == bestLoad) {
            best.push_back(candidate);
        }
    }
    return best.empty() ? nullptr : best[random() % best.size()];
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
    EndpointState *home = ranked.front();
    EndpointState *best = home;
    auto bestWait = home->queue_.wait(now, gateways);
    ranked.resize(std::min(ranked.size(), MostHomes));
    for (auto *candidate : ranked) {
        const auto wait = candidate->queue_.wait(now, gateways) + FetchPenalty;
        if (candidate != home && wait < bestWait) {
            best = candidate;
            bestWait = wait;
        }
    }
    if (best != home) {
        return { best, home };
    }
    // A home that started lately, or that had to make room, finds the parts at the second one.
    return { home, ranked.size() > 1 ? ranked[1] : nullptr };
}

const EndpointState *home(const std::string &sharedParts, const Candidates &candidates)
{
    const auto first = std::max_element(candidates.begin(), candidates.end(), [&sharedParts](const EndpointState *left, const EndpointState *right) {
        return rankOf(sharedParts, *left) < rankOf(sharedParts, *right);
    });
    return first == candidates.end() ? nullptr : *first;
}

EndpointState *shortestQueue(const Candidates &candidates, const FailureDomain &home, std::size_t gateways, MonotonicTime now)
{
    const auto waitOf = [&](const EndpointState *state) {
        return state->queue_.wait(now, gateways) + (state->entry_.domain_ == home ? std::chrono::milliseconds(0) : AwayPenalty);
    };
    const auto shortest = std::min_element(
        candidates.begin(), candidates.end(), [&](const EndpointState *left, const EndpointState *right) { return waitOf(left) < waitOf(right); });
    return shortest == candidates.end() ? nullptr : *shortest;
}

} // namespace cowsliphead::placement
