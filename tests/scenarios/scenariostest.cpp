#include <boost/test/unit_test.hpp>

#include "scenarios/scenario.h"

using namespace cowsliphead::scenarios;

namespace
{

void tell(const std::string &story)
{
    const auto failure = runStory(story);
    BOOST_TEST(!failure.has_value(), story + ": " + failure.value_or(""));
}

} // namespace

BOOST_AUTO_TEST_SUITE(a_small_site_of_separate_processes)

BOOST_AUTO_TEST_SUITE(with_two_daemons)

BOOST_AUTO_TEST_CASE(serves_withdraws_a_key_and_stops_without_a_cut)
{
    tell("separate_processes");
}

BOOST_AUTO_TEST_CASE(reports_all_usage_once)
{
    tell("usage_reports");
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(whose_store_and_daemons_fail)

BOOST_AUTO_TEST_CASE(runs_an_order_with_an_idempotency_key_once)
{
    tell("at_most_once");
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(whose_daemons_and_endpoints_are_drained)

BOOST_AUTO_TEST_CASE(cuts_no_request_when_each_daemon_is_restarted)
{
    tell("rolling_restart");
}

BOOST_AUTO_TEST_CASE(gives_a_leaving_endpoint_no_new_work)
{
    tell("leaving_endpoint");
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
