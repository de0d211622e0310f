#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

#include <algorithm>
#include <map>
#include <set>

#include "relay/failureboard.h"
#include "relay/failureupdates.h"

using namespace cowsliphead;
using namespace std::chrono_literals;

namespace
{

constexpr MonotonicTime Start(1h);

LoadReporter gateway(std::uint8_t number)
{
    return { {}, InstanceId(std::to_string(number)) };
}

EndpointFailure failureOf(std::uint8_t endpoint, std::uint32_t gateways = 1, std::chrono::milliseconds age = 0ms)
{
    return { IncarnationKey(endpoint), EndpointFailureKind::Unreachable, gateways, age };
}

EndpointFailures failuresOf(const std::set<std::uint8_t> &endpoints)
{
    EndpointFailures failures;
    for (const auto endpoint : endpoints) {
        failures.push_back(failureOf(endpoint));
    }
    return failures;
}

} // namespace

BOOST_AUTO_TEST_SUITE(failures_of_endpoints_at_a_relay)

RC_BOOST_PROP(count_each_gateway_once_however_often_it_reports, (const std::map<std::uint8_t, std::set<std::uint8_t>> &reports, std::uint8_t asking))
{
    FailureBoard board;
    std::map<std::uint8_t, std::uint32_t> gateways;
    for (int repetition = 0; repetition < 2; ++repetition) {
        for (const auto &[number, endpoints] : reports) {
            board.report(gateway(number), failuresOf(endpoints), Start);
        }
    }
    for (const auto &[number, endpoints] : reports) {
        for (const auto endpoint : endpoints) {
            gateways[endpoint] += number == asking ? 0 : 1;
        }
    }
    std::erase_if(gateways, [](const auto &item) { return item.second == 0; });
    const auto known = board.fleetWithout(gateway(asking).gateway_, Start);
    RC_ASSERT(known.size() == gateways.size());
    RC_ASSERT(std::is_sorted(known.begin(), known.end()));
    for (const auto &failure : known) {
        RC_ASSERT(failure.gateways_ == gateways[static_cast<std::uint8_t>(failure.endpoint_)]);
    }
}

BOOST_AUTO_TEST_CASE(include_those_of_other_failure_domains_but_are_not_passed_on_to_them)
{
    // Guards against failures that go back and forth between failure domains and are counted anew.
    FailureBoard board;
    board.report(gateway(1), { failureOf(7) }, Start);
    board.report({ FailureDomain("b"), {} }, { failureOf(7, 3) }, Start);
    BOOST_TEST((board.fleetWithout(InstanceId("2"), Start) == EndpointFailures{ failureOf(7, 4) }));
    BOOST_TEST((board.domainTotal(Start) == EndpointFailures{ failureOf(7, 1) }));
}

BOOST_AUTO_TEST_CASE(expire_after_they_were_seen_not_after_they_were_reported)
{
    FailureBoard board;
    board.report(gateway(1), { failureOf(7, 1, 2s) }, Start);
    board.report(gateway(2), { failureOf(7, 1, 1s) }, Start);
    BOOST_TEST((board.domainTotal(Start + 500ms) == EndpointFailures{ failureOf(7, 2, 1500ms) }));
    BOOST_TEST((board.domainTotal(Start + 1s) == EndpointFailures{ failureOf(7, 1, 2s) }));
    BOOST_TEST(board.domainTotal(Start + 2s).empty());
}

BOOST_AUTO_TEST_CASE(of_a_failure_domain_that_is_cut_off_expire)
{
    FailureBoard board;
    board.report({ FailureDomain("b"), {} }, { failureOf(7, 3) }, Start);
    board.report(gateway(1), { failureOf(8) }, Start + 2s);
    BOOST_TEST((board.fleetWithout(InstanceId("2"), Start + 3s) == EndpointFailures{ failureOf(8, 1, 1s) }));
}

BOOST_AUTO_TEST_CASE(are_not_undone_by_a_later_report_that_is_older_or_names_others)
{
    FailureBoard board;
    board.report(gateway(1), { failureOf(7) }, Start + 1s);
    board.report(gateway(1), { failureOf(7, 1, 2s), failureOf(8) }, Start + 2s);
    BOOST_TEST((board.domainTotal(Start + 2s) == EndpointFailures{ failureOf(7, 1, 1s), failureOf(8) }));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(failures_that_are_sent)

BOOST_AUTO_TEST_CASE(are_the_new_ones_and_those_that_a_second_gateway_saw)
{
    FailureUpdates updates;
    BOOST_TEST((updates.take({ failureOf(7), failureOf(8) }, Start) == EndpointFailures{ failureOf(7), failureOf(8) }));
    BOOST_TEST((updates.take({ failureOf(7), failureOf(8, 2), failureOf(9) }, Start + 100ms) == EndpointFailures{ failureOf(8, 2), failureOf(9) }));
    BOOST_TEST(updates.take({ failureOf(7), failureOf(8, 3), failureOf(9) }, Start + 200ms).empty());
}

BOOST_AUTO_TEST_CASE(are_repeated_each_second_in_case_a_message_was_lost)
{
    FailureUpdates updates;
    updates.take({ failureOf(7) }, Start);
    BOOST_TEST(updates.take({ failureOf(7) }, Start + 900ms).empty());
    BOOST_TEST(updates.take({ failureOf(7) }, Start + 1s).size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
