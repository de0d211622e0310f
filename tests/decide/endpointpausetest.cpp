#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

#include "core/virtualclock.h"
#include "decide/endpointpause.h"

using namespace cowsliphead;
using namespace std::chrono_literals;

namespace
{

struct Fixture {
    VirtualClock clock_;
    EndpointPause pause_;

    bool mayDispatch(std::uint32_t running = 0) const
    {
        return pause_.mayDispatch(running, clock_.now());
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(an_endpoint_that_asks_for_a_pause, Fixture)

BOOST_AUTO_TEST_CASE(gets_nothing_until_its_end)
{
    pause_.begin(3s, clock_.now());
    BOOST_TEST(!mayDispatch());
    clock_.advance(2999ms);
    BOOST_TEST(!mayDispatch());
    BOOST_TEST((pause_.remaining(clock_.now()) == std::optional<std::chrono::milliseconds>(1ms)));
    clock_.advance(1ms);
    BOOST_TEST(mayDispatch());
    BOOST_TEST(!pause_.remaining(clock_.now()).has_value());
}

BOOST_AUTO_TEST_CASE(then_gets_one_request_at_a_time_until_it_answers)
{
    pause_.begin(3s, clock_.now());
    clock_.advance(3s);
    BOOST_TEST(mayDispatch(0));
    BOOST_TEST(!mayDispatch(1));
    pause_.answered(clock_.now());
    BOOST_TEST(mayDispatch(7));
}

BOOST_AUTO_TEST_CASE(stays_paused_when_it_answers_a_request_from_before)
{
    pause_.begin(3s, clock_.now());
    clock_.advance(1s);
    pause_.answered(clock_.now());
    BOOST_TEST(!mayDispatch());
}

BOOST_AUTO_TEST_CASE(that_asks_for_a_shorter_one_meanwhile_keeps_the_longer_one)
{
    pause_.begin(3s, clock_.now());
    pause_.begin(1s, clock_.now());
    clock_.advance(2s);
    BOOST_TEST(!mayDispatch());
}

RC_BOOST_PROP(gets_nothing_within_any_pause_whatever_it_answers, (const std::vector<std::pair<std::uint8_t, std::uint16_t>> &steps))
{
    VirtualClock clock;
    EndpointPause pause;
    auto until = clock.now();
    for (const auto &[kind, milliseconds] : steps) {
        const std::chrono::milliseconds time(milliseconds);
        switch (kind % 3) {
        case 0:
            pause.begin(time, clock.now());
            until = std::max(until, clock.now() + time);
            break;
        case 1:
            pause.answered(clock.now());
            break;
        default:
            clock.advance(time);
        }
        RC_ASSERT(clock.now() >= until || !pause.mayDispatch(0, clock.now()));
        RC_ASSERT(clock.now() < until || pause.mayDispatch(0, clock.now()));
    }
}

BOOST_AUTO_TEST_SUITE_END()
