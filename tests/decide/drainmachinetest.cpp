#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

#include "core/virtualclock.h"
#include "decide/drainmachine.h"

using namespace cowsliphead;

namespace
{

const DrainPolicy Policy{ std::chrono::milliseconds(3000), std::chrono::milliseconds(500) };

struct Fixture {
    VirtualClock clock_;
    DrainMachine drain_{ Policy };
};

} // namespace

BOOST_AUTO_TEST_SUITE(a_daemon_that_is_to_stop)

BOOST_FIXTURE_TEST_SUITE(first_announces_it, Fixture)

BOOST_AUTO_TEST_CASE(and_keeps_its_listener_until_the_balancer_can_know)
{
    drain_.begin(clock_.now());
    clock_.advance(std::chrono::milliseconds(2999));
    BOOST_TEST(!drain_.mayCloseListener(clock_.now()));
    clock_.advance(std::chrono::milliseconds(1));
    BOOST_TEST(drain_.mayCloseListener(clock_.now()));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(then_ends, Fixture)

BOOST_AUTO_TEST_CASE(only_when_no_answer_is_under_way_and_nothing_comes_any_more)
{
    drain_.begin(clock_.now());
    clock_.advance(Policy.announcePeriod_);
    drain_.requestArrived(clock_.now());
    BOOST_TEST(!drain_.mayEnd(clock_.now(), true));
    clock_.advance(Policy.quietPeriod_);
    BOOST_TEST(!drain_.mayEnd(clock_.now(), false));
    BOOST_TEST(drain_.mayEnd(clock_.now(), true));
}

RC_BOOST_PROP(at_the_time_that_it_said_it_would_check_again, (const std::vector<std::uint16_t> &gaps))
{
    VirtualClock clock;
    DrainMachine drain(Policy);
    drain.begin(clock.now());
    for (const auto gap : gaps) {
        clock.advance(std::chrono::milliseconds(gap % 700));
        drain.requestArrived(clock.now());
        RC_ASSERT(!drain.mayEnd(clock.now(), true));
    }
    for (int checks = 0; checks < 3 && !drain.mayEnd(clock.now(), true); ++checks) {
        clock.advance(*drain.nextCheck(clock.now(), true));
    }
    RC_ASSERT(drain.mayEnd(clock.now(), true));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
