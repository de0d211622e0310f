#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

#include <algorithm>
#include <cstdlib>
#include <map>

#include "relay/endpointstatereceivers.h"
#include "relay/observationboard.h"

using namespace cowsliphead;
using namespace std::chrono_literals;

namespace
{

constexpr MonotonicTime Start(1h);

/// By reporter: a gateway of the failure domain, or for odd numbers another failure domain.
using Reports = std::map<std::uint8_t, std::map<std::uint8_t, std::uint8_t>>;

LoadReporter reporter(std::uint8_t number)
{
    const auto name = std::to_string(number);
    return number % 2 == 0 ? LoadReporter{ {}, InstanceId(name) } : LoadReporter{ FailureDomain(name), {} };
}

EndpointObservations observationsOf(const std::map<std::uint8_t, std::uint8_t> &milliseconds)
{
    EndpointObservations observations;
    for (const auto &[endpoint, count] : milliseconds) {
        observations.push_back({ endpoint, count * std::uint64_t{ 40 }, std::chrono::milliseconds(count) });
    }
    return observations;
}

std::chrono::milliseconds timeIn(const EndpointObservations &observations)
{
    std::chrono::milliseconds sum{ 0 };
    for (const auto &observation : observations) {
        sum += observation.readingTime_;
    }
    return sum;
}

EndpointObservations fullList(std::size_t endpoints)
{
    EndpointObservations observations;
    for (std::size_t index = 0; index < endpoints; ++index) {
        observations.push_back({ static_cast<EndpointKey>(index), 40000, 1000ms });
    }
    return observations;
}

} // namespace

BOOST_AUTO_TEST_SUITE(observations_of_endpoints_at_a_relay)

RC_BOOST_PROP(add_up_to_the_same_sums_in_any_order, (const Reports &reports, const std::vector<std::uint8_t> &repeated))
{
    ObservationBoard forwards;
    ObservationBoard backwards;
    std::chrono::milliseconds others{ 0 };
    std::chrono::milliseconds members{ 0 };
    for (const auto &[number, counts] : reports) {
        forwards.report(reporter(number), observationsOf(counts), Start);
        others += number == 0 ? 0ms : timeIn(observationsOf(counts));
        members += number % 2 == 0 ? timeIn(observationsOf(counts)) : 0ms;
    }
    for (auto report = reports.rbegin(); report != reports.rend(); ++report) {
        backwards.report(reporter(report->first), observationsOf(report->second), Start);
    }
    for (const auto number : repeated) {
        if (const auto found = reports.find(number); found != reports.end()) {
            backwards.report(reporter(number), observationsOf(found->second), Start);
        }
    }
    const InstanceId asking("0");
    RC_ASSERT(forwards.fleetWithout(asking, Start) == backwards.fleetWithout(asking, Start));
    RC_ASSERT(forwards.domainTotal(Start) == backwards.domainTotal(Start));
    RC_ASSERT(timeIn(forwards.fleetWithout(asking, Start)) == others);
    RC_ASSERT(timeIn(forwards.domainTotal(Start)) == members);
}

BOOST_AUTO_TEST_CASE(decay_and_expire)
{
    ObservationBoard board;
    board.report(reporter(2), { { 5, 4000, 100ms } }, Start);
    BOOST_TEST((board.domainTotal(Start + 10s) == EndpointObservations{ { 5, 2000, 50ms } }));
    board.report(reporter(1), { { 5, 400, 10ms } }, Start + 15s);
    BOOST_TEST(timeIn(board.domainTotal(Start + 22s)).count() == 0);
    BOOST_TEST(timeIn(board.fleetWithout(InstanceId(), Start + 25s)).count() == 5);
    BOOST_TEST(timeIn(board.fleetWithout(InstanceId(), Start + 37s)).count() == 0);
}

BOOST_AUTO_TEST_CASE(are_as_exact_after_many_reports_as_after_one)
{
    // Guards against rounding errors that add up, since sums change by differences.
    ObservationBoard board;
    for (int report = 0; report < 10000; ++report) {
        board.report(reporter(2), { { 5, 4000 + static_cast<std::uint64_t>(report % 7), 100ms } }, Start + report * 10ms);
    }
    board.report(reporter(2), { { 5, 4000, 100ms } }, Start + 100s);
    BOOST_TEST((board.domainTotal(Start + 100s) == EndpointObservations{ { 5, 4000, 100ms } }));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(observations_that_are_sent)

BOOST_AUTO_TEST_CASE(are_those_whose_speed_changed_by_a_tenth)
{
    ObservationUpdates updates;
    BOOST_TEST(updates.take({ { 1, 4000, 100ms }, { 2, 4000, 100ms } }, Start).size() == 2U);
    BOOST_TEST(!updates.isDue(Start + 1900ms));
    BOOST_TEST(updates.isDue(Start + 2s));
    BOOST_TEST((updates.take({ { 1, 4300, 100ms }, { 2, 3600, 100ms } }, Start + 2s) == EndpointObservations{ { 2, 3600, 100ms } }));
}

BOOST_AUTO_TEST_CASE(are_sent_again_before_they_expire_while_the_endpoint_reads)
{
    ObservationUpdates updates;
    updates.take({ { 1, 4000, 100ms } }, Start);
    BOOST_TEST(updates.take({ { 1, 4000, 100ms } }, Start + 8s).empty());
    BOOST_TEST(updates.take({ { 1, 4000, 100ms } }, Start + 10s).size() == 1U);
}

BOOST_AUTO_TEST_CASE(are_not_sent_again_while_they_only_decay)
{
    ObservationUpdates updates;
    updates.take({ { 1, 4000, 100ms } }, Start);
    BOOST_TEST(updates.take({ { 1, 2000, 50ms } }, Start + 10s).empty());
    BOOST_TEST(updates.take({ { 1, 1010, 26ms } }, Start + 18s).empty());
}

BOOST_AUTO_TEST_CASE(have_their_turn_if_there_are_more_than_a_message_holds)
{
    ObservationUpdates updates;
    std::size_t sent = 0;
    for (auto passed = 0s; passed < 8s; passed += 2s) {
        const auto taken = updates.take(fullList(890), Start + passed);
        BOOST_TEST(taken.size() <= ObservationUpdates::MaxObservations);
        sent += taken.size();
    }
    BOOST_TEST(sent == 890U);
}

BOOST_AUTO_TEST_CASE(are_all_sent_to_a_gateway_that_returns)
{
    EndpointStateReceivers receivers;
    const auto sentAt = [&](MonotonicTime now) { return receivers.updatesFor(InstanceId("g"), now).observations_.take(fullList(3), now).size(); };
    BOOST_TEST(sentAt(Start) == 3U);
    BOOST_TEST(sentAt(Start + 2s) == 0U);
    BOOST_TEST(sentAt(Start + 6s) == 3U);
}

BOOST_AUTO_TEST_SUITE_END()
