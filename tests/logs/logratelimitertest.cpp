#include <boost/test/unit_test.hpp>

#include "logs/logratelimiter.h"

using namespace cowsliphead;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_SUITE(the_log_rate_limiter)

BOOST_AUTO_TEST_CASE(admits_a_fixed_number_of_lines_per_second_and_counts_the_rest)
{
    LogRateLimiter limiter;
    const MonotonicTime now(1h);
    std::uint32_t admitted = 0;
    for (std::uint32_t line = 0; line < LogRateLimiter::LinesPerSecond + 30; ++line) {
        admitted += limiter.tryAcquire(now) ? 1 : 0;
    }
    BOOST_TEST(admitted == LogRateLimiter::LinesPerSecond);
    BOOST_TEST(limiter.takeOmitted() == 30U);
    BOOST_TEST(limiter.takeOmitted() == 0U);
}

BOOST_AUTO_TEST_CASE(admits_lines_again_after_a_second)
{
    LogRateLimiter limiter;
    const MonotonicTime now(1h);
    while (limiter.tryAcquire(now)) { }
    BOOST_TEST(limiter.tryAcquire(now + 1s));
}

BOOST_AUTO_TEST_SUITE_END()
