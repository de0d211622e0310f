#include <boost/test/unit_test.hpp>

#include "metrics/counterfamily.h"
#include "metrics/durationhistogram.h"

using namespace cowsliphead;

BOOST_AUTO_TEST_SUITE(the_metrics)

BOOST_AUTO_TEST_SUITE(of_a_counter_family)

BOOST_AUTO_TEST_CASE(distinguish_the_labels_and_escape_their_values)
{
    CounterFamily family("requests_total", "Requests.");
    family.increment({ { "account", "pr\"ess" } });
    family.increment({ { "account", "pr\"ess" } }, 2);
    family.increment({ { "account", "mill" } });
    BOOST_TEST(family.toText()
               == "# HELP requests_total Requests.\n# TYPE requests_total counter\n"
                  "requests_total{account=\"mill\"} 1\nrequests_total{account=\"pr\\\"ess\"} 3\n");
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(of_a_duration_histogram)

BOOST_AUTO_TEST_CASE(bound_each_quantile_within_a_bucket)
{
    DurationHistogram histogram("wait_seconds", "Waits.");
    for (int milliseconds = 1; milliseconds <= 1000; ++milliseconds) {
        histogram.record(std::chrono::milliseconds(milliseconds));
    }
    const auto median = std::chrono::duration<double>(histogram.quantile(0.5)).count();
    BOOST_TEST(median >= 0.5);
    BOOST_TEST(median < 0.65);
    BOOST_TEST(histogram.count() == 1000);
}

BOOST_AUTO_TEST_CASE(count_durations_outside_the_range_of_the_buckets)
{
    DurationHistogram histogram("wait_seconds", "Waits.");
    histogram.record(std::chrono::nanoseconds(1));
    histogram.record(std::chrono::hours(1));
    const auto text = histogram.toText();
    BOOST_TEST(text.find("wait_seconds_bucket{le=\"+Inf\"} 2\n") != std::string::npos);
    BOOST_TEST(text.find("wait_seconds_count 2\n") != std::string::npos);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
