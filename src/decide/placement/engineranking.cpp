#include "decide/placement/engineranking.h"

#include <algorithm>
#include <cmath>
#include <numeric>

#include <xxhash.h>

namespace cowsliphead
{

namespace
{

/// Weights are multiples of this, so that gateways whose measurements differ slightly agree on the homes.
constexpr double WeightStep = 0.25;
constexpr double SmallestWeight = 0.5;

/// All engines have equally large KV caches, and a faster one that got more parts than this would evict them.
constexpr double LargestWeight = 1.25;

/// Returns a score that is larger than those of the other engines with a probability proportional to the weight.
double scoreOf(std::uint64_t sharedParts, EndpointKey engine, double weight)
{
    const auto hash = XXH3_64bits_withSeed(&engine, sizeof(engine), sharedParts);
    const double uniform = (static_cast<double>(hash >> 11U) + 0.5) * 0x1p-53;
    return -weight / std::log(uniform);
}

double medianSpeed(const std::vector<EngineCandidate> &engines)
{
    std::vector<double> speeds(engines.size());
    std::transform(engines.begin(), engines.end(), speeds.begin(), [](const EngineCandidate &engine) { return engine.tokensPerMillisecond_; });
    const auto middle = speeds.begin() + static_cast<std::ptrdiff_t>(speeds.size() / 2);
    std::nth_element(speeds.begin(), middle, speeds.end());
    return *middle;
}

} // namespace

std::vector<double> hashingWeights(const std::vector<EngineCandidate> &engines)
{
    std::vector<double> weights;
    if (engines.empty()) {
        return weights;
    }
    const double median = medianSpeed(engines);
    for (const auto &engine : engines) {
        const double weight = std::round(engine.tokensPerMillisecond_ / median / WeightStep) * WeightStep;
        weights.push_back(std::clamp(weight, SmallestWeight, LargestWeight));
    }
    return weights;
}

std::vector<std::size_t> rankEngines(std::uint64_t sharedParts, const std::vector<EngineCandidate> &engines)
{
    const auto weights = hashingWeights(engines);
    std::vector<double> scores;
    for (std::size_t index = 0; index < engines.size(); ++index) {
        scores.push_back(scoreOf(sharedParts, engines[index].key_, weights[index]));
    }
    std::vector<std::size_t> ranking(engines.size());
    std::iota(ranking.begin(), ranking.end(), 0);
    std::sort(ranking.begin(), ranking.end(), [&scores](std::size_t left, std::size_t right) { return scores[left] > scores[right]; });
    return ranking;
}

} // namespace cowsliphead
