#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

#include "core/virtualclock.h"
#include "decide/drainmachine.h"

using namespace cowsliphead;

namespace
{

const DrainPolicy Policy{ std::chrono::milliseconds(3000), std::chrono::milliseconds(500), std::chrono::hours(100) };
const DrainPolicy ShortPolicy{ std::chrono::milliseconds(3000), std::chrono::milliseconds(500), std::chrono::milliseconds(8000) };

struct Fixture {
    VirtualClock clock_;
    DrainMachine drain_{ Policy };
};

} // namespace

BOOST_AUTO_TEST_SUITE(a_daemon_that_is_to_stop)

BOOST_FIXTURE_TEST_SUITE(first_announces_it, Fixture)

BOOST_AUTO_TEST_CASE(and_keeps_its_listener_until_the_load_balancer_has_noticed)
{
    drain_.begin(clock_.now());
    clock_.advance(std::chrono::milliseconds(2999));
    BOOST_TEST(!drain_.mayCloseListener(clock_.now()));
    clock_.advance(std::chrono::milliseconds(1));
    BOOST_TEST(drain_.mayCloseListener(clock_.now()));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(then_ends, Fixture)

BOOST_AUTO_TEST_CASE(only_when_no_response_is_pending_and_no_request_arrives)
{
    drain_.begin(clock_.now());
    clock_.advance(Policy.announcePeriod_);
    drain_.requestArrived(clock_.now());
    BOOST_TEST(!drain_.mayEnd(clock_.now(), true));
    clock_.advance(Policy.quietPeriod_);
    BOOST_TEST(!drain_.mayEnd(clock_.now(), false));
    BOOST_TEST(drain_.mayEnd(clock_.now(), true));
}

RC_BOOST_PROP(when_checked_at_the_times_that_it_returned, (const std::vector<std::uint16_t> &gaps))
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

BOOST_AUTO_TEST_SUITE(does_not_outlast_its_grace_period)

BOOST_AUTO_TEST_CASE(with_a_request_that_it_could_not_finish)
{
    VirtualClock clock;
    DrainMachine drain(ShortPolicy);
    drain.begin(clock.now());
    const auto killedAt = clock.now() + ShortPolicy.grace_;
    BOOST_TEST(drain.accepts(killedAt + std::chrono::hours(1), clock.now()));
    clock.advance(ShortPolicy.announcePeriod_);
    BOOST_TEST(!drain.accepts(killedAt, clock.now()));
    BOOST_TEST(drain.accepts(killedAt - std::chrono::milliseconds(1000), clock.now()));
}

BOOST_AUTO_TEST_CASE(with_requests_that_go_on)
{
    VirtualClock clock;
    DrainMachine drain(ShortPolicy);
    drain.begin(clock.now());
    const auto killedAt = clock.now() + ShortPolicy.grace_;
    for (int checks = 0; checks < 10 && !drain.isEnding(clock.now()); ++checks) {
        BOOST_TEST(!drain.mayEnd(clock.now(), false));
        clock.advance(*drain.nextCheck(clock.now(), false));
    }
    BOOST_TEST(drain.isEnding(clock.now()));
    BOOST_TEST((clock.now() == killedAt - std::chrono::milliseconds(1000)));
    BOOST_TEST(!drain.mayEnd(clock.now(), false));
    clock.advance(*drain.nextCheck(clock.now(), false));
    BOOST_TEST(drain.mayEnd(clock.now(), false));
    BOOST_TEST((clock.now() < killedAt));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
