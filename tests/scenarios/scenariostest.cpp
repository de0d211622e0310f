#include <boost/test/unit_test.hpp>

#include "scenarios/scenario.h"

using namespace cowsliphead::scenarios;

namespace
{

void expectToPass(const std::string &scenario)
{
    const auto failure = runScenario(scenario);
    BOOST_TEST(!failure.has_value(), scenario + ": " + failure.value_or(""));
}

} // namespace

BOOST_AUTO_TEST_SUITE(a_small_deployment_of_separate_processes)

BOOST_AUTO_TEST_SUITE(with_two_daemons)

BOOST_AUTO_TEST_CASE(applies_a_key_withdrawal_and_stops_without_cutting_answers)
{
    expectToPass("separate_processes");
}

BOOST_AUTO_TEST_CASE(reports_all_usage_once)
{
    expectToPass("usage_reports");
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(whose_store_and_daemons_fail)

BOOST_AUTO_TEST_CASE(runs_a_request_with_an_idempotency_key_once)
{
    expectToPass("at_most_once");
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(whose_daemons_and_endpoints_are_drained)

BOOST_AUTO_TEST_CASE(cuts_no_request_during_a_rolling_restart)
{
    expectToPass("rolling_restart");
}

BOOST_AUTO_TEST_CASE(sends_no_requests_to_a_drained_endpoint)
{
    expectToPass("leaving_endpoint");
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
