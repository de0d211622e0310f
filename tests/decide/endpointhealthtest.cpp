#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

#include "core/virtualclock.h"
#include "decide/endpointhealth.h"

using namespace cowsliphead;

namespace
{

struct Fixture {
    VirtualClock clock_;
    EndpointHealth health_;
    EndpointId endpoint_{ "e1" };

    bool isAvoidedAfter(std::chrono::milliseconds wait)
    {
        clock_.advance(wait);
        return health_.isAvoided(endpoint_, clock_.now());
    }
};

constexpr std::chrono::milliseconds ShortWait{ 1 };
constexpr std::chrono::seconds LongWait{ 31 };

} // namespace

BOOST_AUTO_TEST_SUITE(an_endpoint)

BOOST_FIXTURE_TEST_SUITE(whose_new_connection_went_silent, Fixture)

BOOST_AUTO_TEST_CASE(is_avoided_for_a_while)
{
    health_.wentSilent(endpoint_, clock_.now());
    BOOST_TEST(isAvoidedAfter(ShortWait));
    BOOST_TEST(!isAvoidedAfter(LongWait));
}

BOOST_AUTO_TEST_CASE(is_no_longer_avoided_once_it_answers)
{
    health_.wentSilent(endpoint_, clock_.now());
    health_.answered(endpoint_);
    BOOST_TEST(!isAvoidedAfter(ShortWait));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(that_crashes_with_many_requests_in_flight, Fixture)

BOOST_AUTO_TEST_CASE(is_avoided_no_longer_than_with_one)
{
    for (int request = 0; request < 100; ++request) {
        health_.crashed(endpoint_, clock_.now());
    }
    BOOST_TEST(isAvoidedAfter(ShortWait));
    BOOST_TEST(!isAvoidedAfter(std::chrono::seconds(1)));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(that_refuses_a_request, Fixture)

BOOST_AUTO_TEST_CASE(is_avoided_until_a_slot_may_be_free)
{
    health_.refused(endpoint_, clock_.now());
    BOOST_TEST(isAvoidedAfter(ShortWait));
    BOOST_TEST(!isAvoidedAfter(std::chrono::milliseconds(300)));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(that_crashes_repeatedly, Fixture)

BOOST_AUTO_TEST_CASE(is_avoided_longer_each_time_up_to_a_limit)
{
    for (int crash = 0; crash < 20; ++crash) {
        health_.crashed(endpoint_, clock_.now());
        clock_.advance(LongWait);
    }
    health_.crashed(endpoint_, clock_.now());
    BOOST_TEST(isAvoidedAfter(std::chrono::seconds(29)));
    BOOST_TEST(!isAvoidedAfter(std::chrono::seconds(2)));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(under_any_sequence_of_failures)

RC_BOOST_PROP(is_avoided_at_once_and_for_a_bounded_time, (const std::vector<std::pair<bool, std::uint16_t>> &failures))
{
    Fixture fixture;
    for (const auto &[isCrash, pauseMs] : failures) {
        if (isCrash) {
            fixture.health_.crashed(fixture.endpoint_, fixture.clock_.now());
        } else {
            fixture.health_.wentSilent(fixture.endpoint_, fixture.clock_.now());
        }
        RC_ASSERT(fixture.isAvoidedAfter(ShortWait));
        fixture.clock_.advance(std::chrono::milliseconds(pauseMs));
    }
    RC_ASSERT(!fixture.isAvoidedAfter(LongWait));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
