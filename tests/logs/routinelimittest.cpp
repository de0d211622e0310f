#include <boost/test/unit_test.hpp>

#include "logs/logratelimiter.h"

using namespace cowsliphead;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_SUITE(the_limit_on_routine_lines)

BOOST_AUTO_TEST_CASE(admits_so_many_a_second_and_counts_the_rest)
{
    LogRateLimiter limit;
    const MonotonicTime now(1h);
    std::uint32_t admitted = 0;
    for (std::uint32_t line = 0; line < LogRateLimiter::LinesPerSecond + 30; ++line) {
        admitted += limit.tryAcquire(now) ? 1 : 0;
    }
    BOOST_TEST(admitted == LogRateLimiter::LinesPerSecond);
    BOOST_TEST(limit.takeOmitted() == 30U);
    BOOST_TEST(limit.takeOmitted() == 0U);
}

BOOST_AUTO_TEST_CASE(begins_anew_after_a_second)
{
    LogRateLimiter limit;
    const MonotonicTime now(1h);
    while (limit.tryAcquire(now)) { }
    BOOST_TEST(limit.tryAcquire(now + 1s));
}

BOOST_AUTO_TEST_SUITE_END()
