#include "decide/placement/engineranking.h"

#include <algorithm>
#include <cmath>
#include <numeric>

#include <xxhash.h>

namespace cowsliphead
{

namespace
{

/// Returns a score that is the largest of all engines' with a probability proportional to the engine's weight.
double scoreOf(std::uint64_t sharedParts, const EngineCandidate &engine)
{
    // All engines have equally large KV caches, so that a fast one could not keep parts in proportion to its speed. Measured speeds vary as well;
    // with the square root as the weight, the busiest engine of a replay read 2.05 times the mean, with this one 1.85 times.
    const double weight = std::cbrt(engine.tokensPerMillisecond_);
    const auto hash = XXH3_64bits_withSeed(&engine.key_, sizeof(engine.key_), sharedParts);
    const double uniform = (static_cast<double>(hash >> 11U) + 0.5) * 0x1p-53;
    return -weight / std::log(uniform);
}

} // namespace

std::vector<std::size_t> rankEngines(std::uint64_t sharedParts, const std::vector<EngineCandidate> &engines)
{
    std::vector<double> scores(engines.size());
    std::transform(engines.begin(), engines.end(), scores.begin(), [sharedParts](const EngineCandidate &engine) { return scoreOf(sharedParts, engine); });
    std::vector<std::size_t> ranking(engines.size());
    std::iota(ranking.begin(), ranking.end(), 0);
    std::sort(ranking.begin(), ranking.end(), [&scores](std::size_t left, std::size_t right) { return scores[left] > scores[right]; });
    return ranking;
}

} // namespace cowsliphead
