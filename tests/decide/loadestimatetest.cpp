#include <boost/test/unit_test.hpp>

#include "core/virtualclock.h"
#include "decide/loadestimate.h"

using namespace cowsliphead;

namespace
{

struct Fixture {
    VirtualClock clock_;
    LoadEstimate estimate_;

    std::uint32_t expected() const
    {
        return estimate_.load(clock_.now()).expected_;
    }
};

} // namespace

BOOST_AUTO_TEST_SUITE(an_endpoints_load)

BOOST_FIXTURE_TEST_SUITE(that_is_reported_with_a_delay, Fixture)

BOOST_AUTO_TEST_CASE(includes_requests_sent_since)
{
    estimate_.reported(5, clock_.now());
    estimate_.sent(clock_.now());
    estimate_.sent(clock_.now());
    BOOST_TEST(expected() == 7U);
}

BOOST_AUTO_TEST_CASE(includes_requests_sent_shortly_before_the_report)
{
    estimate_.sent(clock_.now());
    clock_.advance(std::chrono::milliseconds(100));
    estimate_.reported(5, clock_.now());
    BOOST_TEST(expected() == 6U);
}

BOOST_AUTO_TEST_CASE(does_not_count_reported_requests_twice)
{
    estimate_.sent(clock_.now());
    clock_.advance(std::chrono::seconds(2));
    estimate_.reported(5, clock_.now());
    BOOST_TEST(expected() == 5U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(whose_report_is_too_old, Fixture)

BOOST_AUTO_TEST_CASE(is_the_number_of_requests_that_this_daemon_has_in_flight)
{
    estimate_.reported(50, clock_.now());
    estimate_.sent(clock_.now());
    clock_.advance(std::chrono::seconds(20));
    BOOST_TEST(expected() == 1U);
    estimate_.ended();
    BOOST_TEST(expected() == 0U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
