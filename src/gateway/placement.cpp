#include "gateway/placement.h"

#include <algorithm>

#include <xxhash.h>

namespace cowsliphead::placement
{

namespace
{

/// A byte between failure domains costs more than one inside; this much more load is borne to avoid it.
constexpr double AwayFactor = 1.6;

/// An engine that has this many tokens of this gateway's prompts to read gives way to the next in rank.
constexpr std::uint64_t MostWaitingTokens = 9000;

double loadOf(const EndpointState &state, const FailureDomain &home)
{
    const double places = std::max<std::uint32_t>(1, state.entry_.slots_);
    const double away = state.entry_.domain_ == home ? 1.0 : AwayFactor;
    return (state.running_ + 1) / places * state.lateness_.level() * away;
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

EndpointState *holderOf(const std::string &sharedParts, const Candidates &candidates)
{
    Candidates ranked = candidates;
    std::sort(ranked.begin(), ranked.end(), [&sharedParts](const EndpointState *left, const EndpointState *right) {
        return rankOf(sharedParts, *left) > rankOf(sharedParts, *right);
    });
    const auto hasRoom = std::find_if(ranked.begin(), ranked.end(), [](const EndpointState *state) { return state->promptTokens_ < MostWaitingTokens; });
    if (hasRoom != ranked.end()) {
        return *hasRoom;
    }
    const auto least =
        std::min_element(ranked.begin(), ranked.end(), [](const EndpointState *left, const EndpointState *right) { return left->promptTokens_ < right->promptTokens_; });
    return least == ranked.end() ? nullptr : *least;
}

} // namespace cowsliphead::placement
