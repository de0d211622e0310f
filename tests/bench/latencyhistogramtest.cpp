#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

#include "bench/latencyhistogram.h"

using namespace cowsliphead;

namespace
{

constexpr double BinPercent = 1.1;

double microsecondsOf(std::chrono::nanoseconds duration)
{
    return std::chrono::duration<double, std::micro>(duration).count();
}

} // namespace

BOOST_AUTO_TEST_SUITE(a_latency_histogram)

BOOST_AUTO_TEST_SUITE(that_is_empty)

BOOST_AUTO_TEST_CASE(has_quantiles_of_zero)
{
    const LatencyHistogram histogram;
    BOOST_TEST(histogram.quantile(0.99).count() == 0);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(of_one_to_a_thousand_microseconds)

BOOST_AUTO_TEST_CASE(has_quantiles_accurate_to_one_bin)
{
    LatencyHistogram histogram;
    for (int duration = 1; duration <= 1000; ++duration) {
        histogram.add(std::chrono::microseconds(duration));
    }
    BOOST_TEST(histogram.count() == 1000U);
    BOOST_CHECK_CLOSE(microsecondsOf(histogram.quantile(0.5)), 500.0, BinPercent);
    BOOST_CHECK_CLOSE(microsecondsOf(histogram.quantile(0.95)), 950.0, BinPercent);
    BOOST_CHECK_CLOSE(microsecondsOf(histogram.quantile(0.99)), 990.0, BinPercent);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(with_durations_out_of_range)

BOOST_AUTO_TEST_CASE(counts_them_in_the_first_or_the_last_bin)
{
    LatencyHistogram histogram;
    histogram.add(std::chrono::nanoseconds(1));
    histogram.add(std::chrono::hours(1));
    BOOST_CHECK_CLOSE(microsecondsOf(histogram.quantile(0.5)), 1.0, BinPercent);
    BOOST_CHECK_CLOSE(microsecondsOf(histogram.quantile(1)), 60e6, BinPercent);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(with_arbitrary_durations)

RC_BOOST_PROP(has_quantiles_that_never_decrease, (const std::vector<std::uint32_t> &durations))
{
    LatencyHistogram histogram;
    for (const auto duration : durations) {
        histogram.add(std::chrono::microseconds(duration));
    }
    RC_ASSERT(histogram.quantile(0.5) <= histogram.quantile(0.95));
    RC_ASSERT(histogram.quantile(0.95) <= histogram.quantile(0.99));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
