#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

#include <algorithm>
#include <map>

#include "relay/domainmembers.h"
#include "relay/fleetsize.h"
#include "relay/loadboard.h"

using namespace cowsliphead;
using namespace std::chrono_literals;

namespace
{

constexpr MonotonicTime Start(1h);

/// Builds loads from arbitrary keys.
EndpointLoads loadsOf(const std::map<std::uint8_t, std::uint8_t> &counts)
{
    EndpointLoads loads;
    for (const auto &[key, count] : counts) {
        loads.push_back({ key, count, count * std::uint64_t{ 100 } });
    }
    return loads;
}

std::uint64_t tokensOf(const EndpointLoads &loads)
{
    std::uint64_t tokens = 0;
    for (const auto &load : loads) {
        tokens += load.promptTokens_;
    }
    return tokens;
}

GatewayMember member(int run, int port)
{
    return { InstanceId("run-" + std::to_string(run)), FailureDomain("a"), { "10.0.0.1", static_cast<std::uint16_t>(port) } };
}

} // namespace

BOOST_AUTO_TEST_SUITE(loads_of_endpoints)

RC_BOOST_PROP(add_up_and_can_be_taken_off_again, (const std::map<std::uint8_t, std::uint8_t> &left, const std::map<std::uint8_t, std::uint8_t> &right))
{
    const auto sum = sumOf(loadsOf(left), loadsOf(right));
    RC_ASSERT(tokensOf(sum) == tokensOf(loadsOf(left)) + tokensOf(loadsOf(right)));
    RC_ASSERT(std::is_sorted(sum.begin(), sum.end()));
    RC_ASSERT(tokensOf(differenceOf(sum, loadsOf(right))) == tokensOf(loadsOf(left)));
}

BOOST_AUTO_TEST_CASE(of_a_gateway_that_reports_no_more_expire)
{
    LoadBoard board;
    board.reportGateway(InstanceId("g"), { { 1, 2, 300 } }, Start);
    board.reportDomain(FailureDomain("b"), { { 1, 1, 100 } }, 4, Start);
    BOOST_TEST(tokensOf(board.fleetTotal(Start + 900ms)) == 400U);
    BOOST_TEST(tokensOf(board.domainTotal(Start + 900ms)) == 300U);
    BOOST_TEST(tokensOf(board.fleetTotal(Start + 1100ms)) == 0U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(the_number_of_gateways)

BOOST_AUTO_TEST_CASE(of_a_failure_domain_that_is_cut_off_still_counts)
{
    LoadBoard board;
    board.reportDomain(FailureDomain("b"), {}, 4, Start);
    BOOST_TEST(board.gatewaysIn(FailureDomain("b"), Start + 20s).value_or(0) == 4U);
    BOOST_TEST(!board.gatewaysIn(FailureDomain("b"), Start + 31s).has_value());
}

BOOST_AUTO_TEST_CASE(is_not_known_to_a_new_relay)
{
    // Guards against shares of the retry budget that are too large, because a new relay has heard of few gateways.
    FleetSize size;
    size.restart(Start);
    size.record(1, Start);
    BOOST_TEST(size.value(Start + 1s) == 0U);
    size.record(40, Start + 2s);
    BOOST_TEST(size.value(Start + 2s) == 40U);
}

BOOST_AUTO_TEST_CASE(shrinks_slowly)
{
    FleetSize size;
    size.restart(Start);
    size.record(40, Start + 2s);
    size.record(20, Start + 6s);
    BOOST_TEST(size.value(Start + 6s) == 40U);
    for (auto passed = 7s; passed <= 25s; ++passed) {
        size.record(20, Start + passed);
    }
    BOOST_TEST(size.value(Start + 25s) == 20U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(the_members_of_a_failure_domain)

BOOST_AUTO_TEST_CASE(have_a_new_version_only_if_they_change)
{
    DomainMembers members;
    members.heard(member(1, 1), Start);
    const auto version = members.version();
    members.heard(member(1, 1), Start + 1s);
    BOOST_TEST(members.version() == version);
    members.heard(member(2, 2), Start + 1s);
    BOOST_TEST(members.version() != version);
}

BOOST_AUTO_TEST_CASE(do_not_include_an_earlier_run_at_the_same_address)
{
    DomainMembers members;
    members.heard(member(1, 1), Start);
    members.heard(member(2, 1), Start);
    BOOST_TEST((members.members() == std::vector<GatewayMember>{ member(2, 1) }));
}

BOOST_AUTO_TEST_CASE(are_forgotten_when_they_leave_or_are_silent)
{
    DomainMembers members;
    members.heard(member(1, 1), Start);
    members.heard(member(2, 2), Start);
    members.left(member(1, 1));
    BOOST_TEST(members.members().size() == 1U);
    members.expire(Start + 4s);
    BOOST_TEST(members.members().empty());
}

BOOST_AUTO_TEST_SUITE_END()
