#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

#include <memory>
#include <vector>

#include "gateway/placement.h"
#include "http1/clientconnection.h"

using namespace cowsliphead;
using namespace std::chrono_literals;

namespace
{

constexpr MonotonicTime Now(1h);

/// Engines, alternately in the failure domains a and b.
struct Engines {
    explicit Engines(int count)
    {
        for (int number = 0; number < count; ++number) {
            states_.push_back(std::make_unique<EndpointState>());
            states_.back()->entry_.id_ = EndpointId("engine-" + std::to_string(number));
            states_.back()->entry_.slots_ = 12;
            states_.back()->entry_.domain_ = FailureDomain(number % 2 == 0 ? "a" : "b");
            candidates_.push_back(states_.back().get());
        }
    }

    std::vector<std::unique_ptr<EndpointState>> states_;
    placement::Candidates candidates_;
};

} // namespace

BOOST_AUTO_TEST_SUITE(the_placement_of_requests)

BOOST_AUTO_TEST_SUITE(of_a_long_prompt)

RC_BOOST_PROP(is_the_same_at_every_gateway, (const std::string &parts, std::uint8_t seed))
{
    const int count = seed % 9 + 1;
    Engines first(count);
    Engines second(count);
    std::reverse(second.candidates_.begin(), second.candidates_.end());
    const auto *one = placement::prefillEngine(parts, first.candidates_, 1, Now).engine_;
    const auto *other = placement::prefillEngine(parts, second.candidates_, 1, Now).engine_;
    RC_ASSERT(one->entry_.id_ == other->entry_.id_);
}

RC_BOOST_PROP(keeps_the_primary_engine_when_other_engines_leave, (const std::string &parts))
{
    Engines engines(6);
    const auto *primary = placement::prefillEngine(parts, engines.candidates_, 1, Now).engine_;
    placement::Candidates remaining = engines.candidates_;
    std::erase_if(remaining, [primary](const EndpointState *state) { return state != primary && state->entry_.id_.value() < primary->entry_.id_.value(); });
    RC_ASSERT(placement::prefillEngine(parts, remaining, 1, Now).engine_ == primary);
}

BOOST_AUTO_TEST_CASE(avoids_a_busy_primary_engine_and_names_it_as_the_source)
{
    Engines engines(4);
    auto *primary = placement::prefillEngine("parts", engines.candidates_, 1, Now).engine_;
    primary->prefillQueue_.promptSent(100000);
    const auto choice = placement::prefillEngine("parts", engines.candidates_, 1, Now);
    BOOST_TEST(choice.engine_ != primary);
    BOOST_TEST(choice.source_ == primary);
}

BOOST_AUTO_TEST_CASE(lets_the_primary_engine_fetch_missing_parts_from_the_second_one)
{
    // A primary engine that was just started has none of the parts cached that its predecessor had.
    Engines engines(4);
    const auto choice = placement::prefillEngine("parts", engines.candidates_, 1, Now);
    placement::Candidates others = engines.candidates_;
    std::erase(others, choice.engine_);
    BOOST_TEST(choice.source_ == placement::primaryEngine("parts", others));
    BOOST_TEST(placement::primaryEngine("parts", engines.candidates_) == choice.engine_);
}

BOOST_AUTO_TEST_CASE(without_an_engine_is_none)
{
    BOOST_TEST(placement::prefillEngine("parts", {}, 1, Now).engine_ == nullptr);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(of_other_requests)

BOOST_AUTO_TEST_CASE(prefers_the_failure_domain_of_the_caller)
{
    Engines engines(2);
    std::mt19937_64 random(1);
    BOOST_TEST(placement::leastLoaded(engines.candidates_, FailureDomain("b"), Now, random)->entry_.domain_.value() == "b");
}

BOOST_AUTO_TEST_CASE(prefers_another_one_for_a_much_lower_load)
{
    Engines engines(2);
    engines.states_[1]->running_ = 8;
    std::mt19937_64 random(1);
    BOOST_TEST(placement::leastLoaded(engines.candidates_, FailureDomain("b"), Now, random)->entry_.domain_.value() == "a");
}

BOOST_AUTO_TEST_CASE(avoids_an_endpoint_whose_answers_come_late)
{
    Engines engines(3);
    for (int answer = 0; answer < 10; ++answer) {
        engines.states_[0]->latencyRatio_.addAnswer(2s, 250ms);
        engines.states_[2]->latencyRatio_.addAnswer(50ms, 250ms);
    }
    std::mt19937_64 random(1);
    BOOST_TEST(placement::leastLoaded(engines.candidates_, FailureDomain("a"), Now, random) == engines.candidates_[2]);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
