#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

#include <cmath>

#include "decide/placement/chooseengine.h"
#include "decide/placement/engineranking.h"
#include "decide/placement/expectedfirstevent.h"
#include "decide/placement/partdemand.h"
#include "decide/placement/promptfacts.h"
#include "fleet/enginespec.h"

using namespace cowsliphead;
using namespace std::chrono_literals;

namespace
{

constexpr EngineSpec Spec{ .slots_ = 12, .cacheTokens_ = 452991, .cacheTokenBytes_ = 18432, .linkBitsPerSecond_ = 110e9 };
constexpr PromptFacts Prompt{ 3720, 13300, 1, 600ms };

/// Engines with the speeds 0.6, 1.0 and 1.6.
std::vector<EngineCandidate> engines(std::size_t count)
{
    std::vector<EngineCandidate> candidates;
    for (std::size_t number = 0; number < count; ++number) {
        const double speed = number % 3 == 0 ? 0.6 : number % 3 == 1 ? 1.0 : 1.6;
        candidates.push_back(
            { .key_ = static_cast<EndpointKey>(1000 + number), .domain_ = FailureDomain("a"), .slots_ = 12, .tokensPerMillisecond_ = 50 * speed });
    }
    return candidates;
}

EndpointKey homeOf(std::uint64_t parts, const std::vector<EngineCandidate> &candidates)
{
    return candidates[rankEngines(parts, candidates).front()].key_;
}

struct Choice {
    std::mt19937_64 random_{ 1 };
    std::vector<EngineCandidate> engines_ = engines(12);
    std::size_t home_ = rankEngines(Prompt.sharedParts_, engines_).front();

    EngineChoice choose()
    {
        return *chooseReader(Prompt, engines_, Spec, 1, random_);
    }
};

} // namespace

BOOST_AUTO_TEST_SUITE(placement_by_expected_time)

BOOST_AUTO_TEST_SUITE(of_the_homes_of_shared_parts)

/// Guards against an engine that comes or goes and makes other engines lose the parts that they keep.
RC_BOOST_PROP(moves_only_the_parts_of_an_engine_that_goes, (std::uint64_t parts, std::uint8_t seed))
{
    const auto before = engines(12);
    auto after = before;
    const auto gone = after.begin() + seed % 12;
    const auto key = gone->key_;
    after.erase(gone);
    const auto home = homeOf(parts, before);
    RC_ASSERT(home == key || homeOf(parts, after) == home);
}

/// Guards against homes that depend on the load, which each gateway sees differently.
RC_BOOST_PROP(is_the_same_under_stale_views, (std::uint64_t parts, const std::vector<std::uint16_t> &queues))
{
    const auto seen = engines(12);
    auto stale = seen;
    for (std::size_t number = 0; number < std::min(queues.size(), stale.size()); ++number) {
        stale[number].queuedTokens_ = queues[number];
        stale[number].running_ = queues[number] % 12;
    }
    std::reverse(stale.begin(), stale.end());
    RC_ASSERT(homeOf(parts, seen) == homeOf(parts, stale));
}

/// Guards against measurements of the speed that move most homes.
BOOST_AUTO_TEST_CASE(differs_for_few_parts_if_gateways_measured_other_speeds)
{
    const auto seen = engines(48);
    auto other = seen;
    for (std::size_t number = 0; number < other.size(); ++number) {
        other[number].tokensPerMillisecond_ *= number % 2 == 0 ? 1.05 : 0.95;
    }
    int moved = 0;
    for (std::uint64_t parts = 0; parts < 1000; ++parts) {
        moved += homeOf(parts, seen) != homeOf(parts, other) ? 1 : 0;
    }
    BOOST_TEST(moved < 50);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(of_a_prompt)

BOOST_FIXTURE_TEST_CASE(prefers_the_home, Choice)
{
    const auto choice = choose();
    BOOST_TEST(choice.engine_ == home_);
    BOOST_TEST(!choice.home_);
    BOOST_TEST(choice.expected_.fetch_.count() == 0);
}

/// Guards against a long queue at the home while other engines are idle.
BOOST_FIXTURE_TEST_CASE(leaves_a_home_with_a_long_queue_and_fetches_from_it, Choice)
{
    engines_[home_].queuedTokens_ = 100000;
    const auto choice = choose();
    BOOST_TEST(choice.engine_ != home_);
    BOOST_TEST((choice.home_ == home_));
    BOOST_TEST(choice.expected_.fetch_.count() > 0);
}

/// Guards against gateways with the same stale view that all choose the same engine.
BOOST_FIXTURE_TEST_CASE(breaks_ties_at_random, Choice)
{
    engines_[home_].queuedTokens_ = 100000;
    std::set<std::size_t> chosen;
    for (int attempt = 0; attempt < 50; ++attempt) {
        chosen.insert(choose().engine_);
    }
    BOOST_TEST(chosen.size() >= 4);
}

/// Guards against reading what a link brings in a tenth of the time.
BOOST_AUTO_TEST_CASE(expects_a_fetch_instead_of_reading_the_shared_parts)
{
    const auto engine = engines(2)[1];
    const auto fetched = expectedFirstEvent(Prompt, engine, Spec, FailureDomain("a"));
    BOOST_TEST((fetched.fetch_ > 25ms && fetched.fetch_ < 27ms));
    const auto remote = expectedFirstEvent(Prompt, engine, Spec, FailureDomain("b"));
    BOOST_TEST((remote.fetch_ > 43ms && remote.fetch_ < 45ms));
    const auto read = expectedFirstEvent(Prompt, engine, Spec, std::nullopt);
    BOOST_TEST((read.fetch_ == 0ms && read.reading_ > 340ms));
}

/// Guards against evicting parts that other requests are using.
BOOST_AUTO_TEST_CASE(counts_tokens_without_room)
{
    auto engine = engines(2)[1];
    engine.usedCacheTokens_ = Spec.cacheTokens_;
    BOOST_TEST((expectedFirstEvent(Prompt, engine, Spec, std::nullopt).room_ > 300ms));
}

/// Guards against early events that are bought with late ones of other callers.
BOOST_AUTO_TEST_CASE(values_time_below_the_target_at_a_tenth)
{
    BOOST_TEST((expectedLoss({ .queue_ = 500ms }, 600ms, false) == 50ms));
    BOOST_TEST((expectedLoss({ .queue_ = 900ms }, 600ms, false) == 360ms));
    BOOST_TEST((expectedLoss({ .queue_ = 500ms }, 600ms, true) == 70ms));
}

BOOST_AUTO_TEST_CASE(without_an_engine_is_none)
{
    std::mt19937_64 random(1);
    BOOST_TEST(!chooseReader(Prompt, {}, Spec, 1, random));
    BOOST_TEST(!shortestExpectedTime(Prompt, {}, Spec, 1));
    BOOST_TEST(!chooseAnswerer(1, {}));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(of_an_answer)

/// Guards against answers of different engines for the same parts, each of which would have to fetch them.
RC_BOOST_PROP(returns_to_the_first_engine_of_the_ranking, (std::uint64_t parts))
{
    auto candidates = engines(12);
    for (auto &candidate : candidates) {
        candidate.tokensPerMillisecond_ = 50;
    }
    RC_ASSERT(*chooseAnswerer(parts, candidates) == rankEngines(parts, candidates).front());
}

/// Guards against full engines that are chosen because they rank first.
RC_BOOST_PROP(avoids_engines_above_the_mean_load, (std::uint64_t parts))
{
    auto candidates = engines(12);
    for (auto &candidate : candidates) {
        candidate.tokensPerMillisecond_ = 50;
    }
    const auto first = rankEngines(parts, candidates).front();
    candidates[first].running_ = 3;
    RC_ASSERT(*chooseAnswerer(parts, candidates) != first);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(of_parts_by_demand)

/// Guards against a second home for parts that one gateway happens to be asked for once.
BOOST_AUTO_TEST_CASE(gives_rare_parts_one_home)
{
    PartDemand demand;
    MonotonicTime now(1h);
    for (int request = 0; request < 10; ++request) {
        BOOST_TEST(demand.requestArrived(1, 59, 68ms, now) == 1U);
        now += 60s;
    }
}

/// Guards against a single home for parts whose requests keep more than a third of an engine busy, and against keeping the others for good.
BOOST_AUTO_TEST_CASE(adds_homes_for_hot_parts_and_drops_them)
{
    PartDemand demand;
    MonotonicTime now(1h);
    for (int request = 0; request < 30; ++request) {
        demand.requestArrived(1, 59, 68ms, now);
        now += 2s;
    }
    BOOST_TEST(demand.homesOf(1) >= 3U);
    for (int request = 0; request < 10; ++request) {
        now += 60s;
        demand.requestArrived(1, 59, 68ms, now);
    }
    BOOST_TEST(demand.homesOf(1) == 1U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
