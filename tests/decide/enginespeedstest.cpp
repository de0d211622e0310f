#include <boost/test/unit_test.hpp>

#include "core/virtualclock.h"
#include "decide/enginespeeds.h"

using namespace cowsliphead;
using namespace std::chrono_literals;

namespace
{

constexpr EndpointKey Slow = 1;
constexpr EndpointKey Middle = 2;
constexpr EndpointKey Fast = 3;
constexpr EndpointKey Unknown = 4;
constexpr EndpointKey Lonely = 5;

struct Fixture {
    Fixture()
    {
        const ServiceName service("engines");
        speeds_.setEngines({ { Slow, service }, { Middle, service }, { Fast, service }, { Unknown, service }, { Lonely, ServiceName("others") } });
    }

    VirtualClock clock_;
    EngineSpeeds speeds_;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(the_reading_speed_of_an_engine, Fixture)

BOOST_AUTO_TEST_CASE(comes_from_its_prompts)
{
    speeds_.promptRead(Slow, 6000, 200ms, clock_.now());
    speeds_.promptRead(Slow, 2000, 200ms, clock_.now());
    BOOST_TEST(speeds_.tokensPerMillisecond(Slow) == 20.0);
}

BOOST_AUTO_TEST_CASE(comes_from_what_others_have_seen_as_well)
{
    speeds_.promptRead(Slow, 6000, 200ms, clock_.now());
    speeds_.setObservationsOfOthers({ { Slow, 4000, 300ms }, { Fast, 10000, 100ms } }, clock_.now());
    BOOST_TEST(speeds_.tokensPerMillisecond(Slow) == 20.0);
    BOOST_TEST(speeds_.tokensPerMillisecond(Fast) == 100.0);
}

BOOST_AUTO_TEST_CASE(follows_recent_prompts)
{
    // Guards against a stall that counts for minutes.
    speeds_.promptRead(Slow, 1000, 100ms, clock_.now());
    clock_.advance(60s);
    speeds_.promptRead(Slow, 5000, 100ms, clock_.now());
    BOOST_TEST(speeds_.tokensPerMillisecond(Slow) > 49.0);
}

BOOST_AUTO_TEST_CASE(is_the_median_of_its_service_if_nobody_has_seen_it)
{
    speeds_.setObservationsOfOthers({ { Slow, 1000, 100ms }, { Middle, 3000, 100ms }, { Fast, 9000, 100ms } }, clock_.now());
    BOOST_TEST(speeds_.tokensPerMillisecond(Unknown) == 30.0);
}

BOOST_AUTO_TEST_CASE(is_a_common_one_if_nothing_is_known_of_its_service)
{
    speeds_.promptRead(Slow, 1000, 100ms, clock_.now());
    BOOST_TEST(speeds_.tokensPerMillisecond(Lonely) == 45.0);
}

BOOST_AUTO_TEST_CASE(is_forgotten_once_it_is_gone)
{
    speeds_.promptRead(Slow, 1000, 100ms, clock_.now());
    speeds_.setEngines({ { Lonely, ServiceName("others") } });
    BOOST_TEST(speeds_.observations(clock_.now()).empty());
    BOOST_TEST(speeds_.tokensPerMillisecond(Slow) == 45.0);
}

BOOST_AUTO_TEST_CASE(is_positive_however_long_a_prompt_took)
{
    // Guards against an expected time without end.
    speeds_.promptRead(Slow, 0, 1h, clock_.now());
    BOOST_TEST(speeds_.tokensPerMillisecond(Slow) > 0.0);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(what_a_gateway_tells_of_engines, Fixture)

BOOST_AUTO_TEST_CASE(halves_in_ten_seconds)
{
    speeds_.promptRead(Slow, 6000, 200ms, clock_.now());
    clock_.advance(10s);
    const auto told = speeds_.observations(clock_.now());
    BOOST_TEST(told.size() == 1U);
    BOOST_TEST((told.front() == EndpointObservation{ Slow, 3000, 100ms }));
}

BOOST_AUTO_TEST_CASE(is_only_what_it_has_seen_itself)
{
    // Guards against observations that grow as gateways repeat them to each other.
    speeds_.setObservationsOfOthers({ { Slow, 4000, 300ms } }, clock_.now());
    BOOST_TEST(speeds_.observations(clock_.now()).empty());
}

BOOST_AUTO_TEST_SUITE_END()
