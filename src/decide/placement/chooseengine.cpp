#include "decide/placement/chooseengine.h"

#include <algorithm>
#include <numeric>

#include "decide/placement/engineranking.h"
#include "decide/placement/expectedfirstevent.h"
#include "decide/placement/promptfacts.h"

namespace cowsliphead
{

namespace
{

/// A home whose queue is longer than this many times the mean is passed over.
constexpr int MaxHomeQueueFactor = 2;

/// Candidates whose loss is within this factor of the least count as ties, since gateways with the same stale view would otherwise all choose
/// the same engine.
constexpr double TieFactor = 1.1;

/// So do those within this share of the target latency. Far below it, a tenth of the loss is a few milliseconds, and the fastest home of hot
/// parts would get all requests for them.
constexpr int TieTargetDivisor = 100;

/// An engine may answer if its load is at most this many times the mean.
constexpr double MaxAnswererLoad = 1.25;

/// What the choice of a reader is made from, by the indexes of the candidates.
struct Forecast {
    Forecast(const PromptFacts &prompt, std::vector<EngineCandidate> engines, const EngineSpec &spec, std::size_t homes)
        : tieMargin_(std::chrono::microseconds(prompt.targetLatency_) / TieTargetDivisor)
    {
        if (prompt.sharedTokens_ > 0) {
            homes_ = rankEngines(prompt.sharedParts_, engines);
            homes_.resize(std::min(homes, homes_.size()));
        }
        for (const auto home : homes_) {
            engines[home].holdsParts_ = true;
        }
        const auto holder = homes_.empty() ? std::optional<FailureDomain>() : engines[homes_.front()].domain_;
        for (const auto &engine : engines) {
            const auto expected = expectedFirstEvent(prompt, engine, spec, holder);
            const bool crossesDomains = expected.fetch_.count() > 0 && holder != engine.domain_;
            expected_.push_back(expected);
            losses_.push_back(expectedLoss(expected, prompt.targetLatency_, crossesDomains));
        }
    }

    /// Precondition: there are candidates.
    std::chrono::microseconds meanQueue() const
    {
        const auto total = std::accumulate(
            expected_.begin(), expected_.end(), std::chrono::microseconds(0), [](auto sum, const ExpectedTime &expected) { return sum + expected.queue_; });
        return total / static_cast<std::int64_t>(expected_.size());
    }

    /// The candidate with the least loss of these. Ties are broken at random. Precondition: there are some.
    std::size_t leastLoss(const std::vector<std::size_t> &among, std::mt19937_64 &random) const
    {
        const auto least =
            *std::min_element(among.begin(), among.end(), [this](std::size_t left, std::size_t right) { return losses_[left] < losses_[right]; });
        const std::chrono::duration<double, std::micro> limit = std::max(losses_[least] * TieFactor, (losses_[least] + tieMargin_) * 1.0);
        std::vector<std::size_t> ties;
        std::copy_if(among.begin(), among.end(), std::back_inserter(ties), [&](std::size_t index) { return losses_[index] <= limit; });
        return ties[random() % ties.size()];
    }

    /// The homes of the shared parts, the first one first.
    std::vector<std::size_t> homes_;
    std::vector<ExpectedTime> expected_;
    std::vector<std::chrono::microseconds> losses_;
    std::chrono::microseconds tieMargin_;
};

} // namespace

std::optional<EngineChoice>
chooseReader(const PromptFacts &prompt, std::vector<EngineCandidate> engines, const EngineSpec &spec, std::size_t homes, std::mt19937_64 &random)
{
    if (engines.empty()) {
        return std::nullopt;
    }
    const Forecast forecast(prompt, std::move(engines), spec, homes);
    const auto chosen = [&forecast](std::size_t engine) {
        const bool hasHome = !forecast.homes_.empty() && forecast.homes_.front() != engine;
        return EngineChoice{ engine, hasHome ? std::optional(forecast.homes_.front()) : std::nullopt, forecast.expected_[engine] };
    };
    if (!forecast.homes_.empty()) {
        const auto home = forecast.leastLoss(forecast.homes_, random);
        if (forecast.expected_[home].queue_ <= forecast.meanQueue() * MaxHomeQueueFactor) {
            return chosen(home);
        }
    }
    std::vector<std::size_t> all(forecast.expected_.size());
    std::iota(all.begin(), all.end(), 0);
    return chosen(forecast.leastLoss(all, random));
}

std::optional<ExpectedTime> shortestExpectedTime(const PromptFacts &prompt, std::vector<EngineCandidate> engines, const EngineSpec &spec, std::size_t homes)
{
    const auto expected = Forecast(prompt, std::move(engines), spec, homes).expected_;
    const auto shortest =
        std::min_element(expected.begin(), expected.end(), [](const ExpectedTime &left, const ExpectedTime &right) { return left.total() < right.total(); });
    return shortest == expected.end() ? std::nullopt : std::optional(*shortest);
}

std::optional<std::size_t> chooseAnswerer(std::uint64_t sharedParts, const std::vector<EngineCandidate> &engines)
{
    std::vector<double> loads(engines.size());
    std::transform(engines.begin(), engines.end(), loads.begin(), [](const EngineCandidate &engine) {
        return (engine.running_ + 1) / (std::max<std::uint32_t>(1, engine.slots_) * engine.tokensPerMillisecond_);
    });
    const double limit = std::accumulate(loads.begin(), loads.end(), 0.0) / static_cast<double>(std::max<std::size_t>(1, loads.size())) * MaxAnswererLoad;
    for (const auto index : rankEngines(sharedParts, engines)) {
        if (loads[index] <= limit) {
            return index;
        }
    }
    return std::nullopt;
}

} // namespace cowsliphead
