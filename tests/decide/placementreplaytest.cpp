#include <boost/test/unit_test.hpp>

#include <memory>

#include "decide/placement/chooseengine.h"
#include "decide/placement/engineranking.h"
#include "decide/placement/partdemand.h"
#include "decide/placementreplay.h"
#include "gateway/placement.h"
#include "http1/clientconnection.h"

using namespace cowsliphead;
using namespace std::chrono_literals;

namespace
{

/// Placement by expected time, as ExpectedPlacement does it.
class ExpectedRules
{
public:
    ReplayChoice choose(const PromptFacts &prompt, std::size_t gateway, const Candidates &readers, const Candidates &answerers, MonotonicTime now)
    {
        const auto homes = demands_.at(gateway).requestArrived(prompt.sharedParts_, ReplayGateways, 68ms, now);
        const auto choice = chooseReader(prompt, readers, ReplayEngine::Spec, homes, random_);
        ReplayChoice result{ .reader_ = choice->engine_, .answerer_ = *chooseAnswerer(prompt.sharedParts_, answerers), .sourceReader_ = choice->home_ };
        if (!choice->home_) {
            result.sourceAnswerer_ = rankEngines(prompt.sharedParts_, answerers).front();
        }
        return result;
    }

private:
    std::array<PartDemand, ReplayGateways> demands_;
    std::mt19937_64 random_{ 1 };
};

/// The rules for engines whose KV cache is not compact.
class PairRules
{
public:
    ReplayChoice choose(const PromptFacts &prompt, std::size_t /*gateway*/, const Candidates &readers, const Candidates &answerers, MonotonicTime now)
    {
        const auto readerStates = statesOf(readers);
        const auto answererStates = statesOf(answerers);
        const auto choice = placement::prefillEngine(std::to_string(prompt.sharedParts_), pointersOf(readerStates), 1, now);
        auto *answerer = placement::leastLoaded(pointersOf(answererStates), FailureDomain("a"), now, random_);
        return { indexOf(choice.engine_, readerStates), indexOf(answerer, answererStates), indexOf(choice.source_, readerStates), std::nullopt };
    }

private:
    using States = std::vector<std::unique_ptr<EndpointState>>;

    static States statesOf(const Candidates &engines)
    {
        States states;
        for (const auto &engine : engines) {
            states.push_back(std::make_unique<EndpointState>());
            states.back()->entry_.id_ = EndpointId("engine-" + std::to_string(engine.key_));
            states.back()->entry_.slots_ = engine.slots_;
            states.back()->entry_.domain_ = engine.domain_;
            states.back()->running_ = engine.running_;
            states.back()->prefillQueue_.promptSent(engine.queuedTokens_);
        }
        return states;
    }

    static placement::Candidates pointersOf(const States &states)
    {
        placement::Candidates pointers;
        for (const auto &state : states) {
            pointers.push_back(state.get());
        }
        return pointers;
    }

    static std::size_t indexOf(const EndpointState *state, const States &states)
    {
        return static_cast<std::size_t>(std::find_if(states.begin(), states.end(), [state](const auto &other) { return other.get() == state; })
                                        - states.begin());
    }

    std::mt19937_64 random_{ 1 };
};

template <typename R>
ReplayResult replayed(const char *name, const ReplayOptions &options)
{
    const auto result = PlacementReplay<R>(options).run();
    BOOST_TEST_MESSAGE(name << ": " << result.inTime_ << " of the prompts read in time, " << result.inTimeOfTrouble_
                            << " of those in the third ten seconds, busiest engine " << result.busiest_ << " times the mean, " << result.tokensRead_
                            << " tokens read");
    return result;
}

} // namespace

/// The target for prompts that are read in time.
constexpr double InTime = 0.9;

BOOST_AUTO_TEST_SUITE(the_placement_of_long_prompts)

BOOST_AUTO_TEST_SUITE(by_stale_views_of_the_load)

/// Guards against slow and stalled engines that get as many prompts as others, and against one engine that reads for the whole fleet.
BOOST_AUTO_TEST_CASE(suits_engines_of_uneven_speed)
{
    const auto result = replayed<ExpectedRules>("expected time", {});
    BOOST_TEST(result.inTime_ >= InTime);
    BOOST_TEST(result.busiest_ < 2);
    BOOST_TEST(replayed<PairRules>("pairs of engines", {}).inTime_ < InTime);
}

/// Guards against a queue at the one or two engines that keep a hot part.
BOOST_AUTO_TEST_CASE(spreads_a_hot_part_beside_a_thousand_rare_ones)
{
    const ReplayOptions options{ .hotShare_ = 0.3 };
    const auto result = replayed<ExpectedRules>("expected time", options);
    BOOST_TEST(result.inTime_ >= InTime);
    BOOST_TEST(result.busiest_ < 3);
    BOOST_TEST(replayed<PairRules>("pairs of engines", options).inTime_ < InTime);
}

/// Guards against prompts that wait for the engines of their parts although others are idle.
BOOST_AUTO_TEST_CASE(spreads_a_burst)
{
    const ReplayOptions options{ .burstFactor_ = 2.4 };
    const auto result = replayed<ExpectedRules>("expected time", options);
    BOOST_TEST(result.inTime_ >= InTime);
    BOOST_TEST(result.inTimeOfTrouble_ >= InTime);
    BOOST_TEST(replayed<PairRules>("pairs of engines", options).inTime_ < InTime);
}

/// Guards against reading all shared parts again that the lost engines kept.
BOOST_AUTO_TEST_CASE(outlives_the_engines_of_a_failure_domain)
{
    const ReplayOptions options{ .losesDomain_ = true };
    const auto result = replayed<ExpectedRules>("expected time", options);
    BOOST_TEST(result.inTime_ >= InTime);
    BOOST_TEST(result.inTimeOfTrouble_ >= InTime);
    BOOST_TEST(replayed<PairRules>("pairs of engines", options).inTimeOfTrouble_ < InTime);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
