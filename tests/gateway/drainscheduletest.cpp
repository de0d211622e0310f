#include <boost/test/unit_test.hpp>

#include "gateway/drainschedule.h"

using namespace cowsliphead;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_SUITE(the_drain_schedule)

BOOST_AUTO_TEST_SUITE(while_the_balancer_still_sends_callers)

BOOST_AUTO_TEST_CASE(takes_any_request)
{
    const MonotonicTime start{ 100s };
    const DrainSchedule schedule(start, 8s);
    BOOST_TEST(schedule.isAnnounced(start + 2900ms));
    BOOST_TEST(schedule.takes(30s, start + 2900ms));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(later)

BOOST_AUTO_TEST_CASE(takes_only_what_ends_before_the_process)
{
    const MonotonicTime start{ 100s };
    const DrainSchedule schedule(start, 8s);
    BOOST_TEST(!schedule.isAnnounced(start + 3s));
    BOOST_TEST(schedule.takes(1s, start + 6s));
    BOOST_TEST(!schedule.takes(5s, start + 3s));
    BOOST_TEST(!schedule.takes(1s, start + 6500ms));
}

BOOST_AUTO_TEST_CASE(answers_what_is_left_and_writes_it_out_within_the_grace)
{
    const MonotonicTime start{ 100s };
    const DrainSchedule schedule(start, 8s);
    BOOST_TEST(!schedule.isEnding(start + 7s));
    BOOST_TEST(schedule.isEnding(start + 7300ms));
    BOOST_TEST(!schedule.isOver(start + 7300ms));
    BOOST_TEST(schedule.isOver(start + 7600ms));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
