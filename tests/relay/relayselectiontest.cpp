#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

#include "relaysimulation.h"

using namespace std::chrono_literals;

namespace
{

constexpr int Gateways = 340;
constexpr int Domains = 7;

/// A fleet of the target size that has chosen its relays.
struct SettledFleet : RelaySimulation {
    SettledFleet()
        : RelaySimulation(Gateways, Domains, 1)
    {
        runFor(20s);
        takeCalls();
    }
};

/// A failure domain of a small site.
struct SmallDomain : RelaySimulation {
    explicit SmallDomain(std::uint64_t seed = 1)
        : RelaySimulation(3, 1, seed)
    {
        runFor(10s);
        takeCalls();
    }
};

} // namespace

BOOST_AUTO_TEST_SUITE(the_choice_of_relays)

BOOST_AUTO_TEST_SUITE(of_a_fleet_that_starts_at_once)

BOOST_AUTO_TEST_CASE(takes_two_seconds_and_at_most_three_calls_a_gateway)
{
    RelaySimulation fleet(Gateways, Domains, 7);
    fleet.runFor(2s);
    BOOST_TEST(fleet.areAllServed());
    BOOST_TEST(fleet.takeCalls() <= 3 * Gateways);
    fleet.runFor(20s);
    BOOST_TEST(fleet.relayCount() == Domains);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(of_a_settled_fleet, SettledFleet)

BOOST_AUTO_TEST_CASE(costs_calls_of_the_relays_only)
{
    runFor(60s);
    BOOST_TEST(relayCount() == Domains);
    BOOST_TEST(takeCalls() <= Domains * 15);
}

BOOST_AUTO_TEST_CASE(replaces_a_killed_relay_within_a_second_without_a_herd)
{
    kill(relayOf(0));
    runFor(1s);
    BOOST_TEST(areAllServed());
    BOOST_TEST(takeCalls() <= 20);
}

BOOST_AUTO_TEST_CASE(replaces_a_relay_and_its_first_successor_within_two_seconds)
{
    kill(relayOf(0));
    kill(0);
    runFor(2s);
    BOOST_TEST(areAllServed());
}

BOOST_AUTO_TEST_CASE(replaces_a_relay_that_the_store_turns_away_within_half_a_second)
{
    setRefused(relayOf(0), true);
    runFor(500ms);
    BOOST_TEST(areAllServed());
}

BOOST_AUTO_TEST_CASE(follows_a_leaving_relay_no_longer)
{
    const int relay = relayOf(0);
    leave(relay);
    runFor(500ms);
    kill(relay);
    BOOST_TEST(areAllServed());
}

BOOST_AUTO_TEST_CASE(leaves_the_other_failure_domains_alone)
{
    const int other = relayOf(1);
    kill(relayOf(0));
    runFor(10s);
    BOOST_TEST(relayOf(1) == other);
    BOOST_TEST(relayCount() == Domains);
}

BOOST_AUTO_TEST_SUITE(while_the_store_is_down)

BOOST_AUTO_TEST_CASE(tries_at_a_few_gateways_of_each_failure_domain)
{
    // In ten seconds the members go on to a fifth gateway, after 0.5, 1, 2 and 4 s, and the relays that they leave ask no more than as many.
    setStoreUp(false);
    runFor(10s);
    BOOST_TEST(relayCount() <= 9 * Domains);
    BOOST_TEST(takeCalls() <= 15 * Gateways);
}

BOOST_AUTO_TEST_CASE(serves_all_within_a_second_of_its_return_and_settles_again)
{
    setStoreUp(false);
    runFor(10s);
    setStoreUp(true);
    takeCalls();
    runFor(1s);
    BOOST_TEST(areAllServed());
    BOOST_TEST(takeCalls() <= 12 * Domains);
    runFor(20s);
    BOOST_TEST(relayCount() == Domains);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_CASE(serves_a_third_that_the_store_turns_away)
{
    for (int gateway = 0; gateway < Gateways; gateway += 3) {
        setRefused(gateway, true);
    }
    runFor(4s);
    BOOST_TEST(areAllServed());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(of_a_small_failure_domain)

BOOST_AUTO_TEST_CASE(with_a_paused_relay_takes_another_and_keeps_one_after_it_wakes)
{
    SmallDomain domain;
    const int relay = domain.relayOf(0);
    domain.setPaused(relay, true);
    domain.runFor(2s);
    BOOST_TEST(domain.areAllServed());
    domain.setPaused(relay, false);
    domain.runFor(15s);
    BOOST_TEST(domain.areAllServed());
    BOOST_TEST(domain.relayCount() == 1);
}

BOOST_AUTO_TEST_CASE(lets_a_gateway_that_nobody_answers_read_the_store_itself)
{
    SmallDomain domain;
    const int relay = domain.relayOf(0);
    const int lonely = (relay + 1) % 3;
    for (int other = 0; other < 3; ++other) {
        domain.cut(other, lonely);
    }
    domain.runFor(2s);
    BOOST_TEST(domain.isServed(lonely));
    domain.healAll();
    domain.runFor(20s);
    BOOST_TEST(domain.relayCount() == 1);
}

BOOST_AUTO_TEST_CASE(keeps_its_relay_when_one_gateway_misses_its_answers)
{
    // Guards against a fleet in which any gateway's lost packet replaces a relay: 195 gateways changed a relay every 1.5 seconds.
    SmallDomain domain;
    const int relay = domain.relayOf(0);
    const int member = (relay + 1) % 3;
    domain.cut(relay, member);
    domain.runFor(600ms);
    domain.healAll();
    domain.runFor(20s);
    BOOST_TEST(domain.relayOf(0) == relay);
    BOOST_TEST(domain.relayCount() == 1);
}

BOOST_AUTO_TEST_CASE(keeps_its_relay_when_one_gateway_cannot_hear_it_for_long)
{
    SmallDomain domain;
    const int relay = domain.relayOf(0);
    const int member = (relay + 1) % 3;
    const int third = (relay + 2) % 3;
    domain.cut(relay, member);
    domain.runFor(2s);
    BOOST_TEST(domain.areAllServed());
    domain.runFor(20s);
    BOOST_TEST(domain.areAllServed());
    BOOST_TEST(!domain.isRelay(third));
    BOOST_TEST(domain.isRelay(relay));
}

BOOST_AUTO_TEST_CASE(serves_a_gateway_soon_after_a_long_cut_heals)
{
    // Guards against a gateway that remembers its relay as silent while all others follow it: four seconds after a cut had healed, requests
    // still went to endpoints that had left (granite-lantern-grown, scale-2).
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        RelaySimulation domain(12, 1, seed);
        domain.runFor(10s);
        const int relay = domain.relayOf(0);
        for (int cutOff = 1; cutOff <= 4; ++cutOff) {
            for (int other = 0; other < 12; ++other) {
                domain.cut((relay + cutOff) % 12, other);
                domain.cut(other, (relay + cutOff) % 12);
            }
            domain.setRefused((relay + cutOff) % 12, true);
        }
        domain.runFor(12s);
        domain.healAll();
        domain.runFor(1500ms);
        BOOST_TEST(domain.areAllServed(), "seed " << seed);
    }
}

BOOST_AUTO_TEST_CASE(finds_a_relay_again_after_all_gateways_restart)
{
    SmallDomain domain;
    for (int gateway = 0; gateway < 3; ++gateway) {
        domain.kill(gateway);
        domain.restart(gateway);
    }
    domain.runFor(2s);
    BOOST_TEST(domain.areAllServed());
    domain.runFor(20s);
    BOOST_TEST(domain.relayCount() == 1);
}

BOOST_AUTO_TEST_SUITE_END()

RC_BOOST_PROP(settles_on_one_relay_after_any_series_of_faults, (const std::vector<std::uint8_t> &faults, std::uint16_t seed))
{
    constexpr int Count = 5;
    RelaySimulation domain(Count, 1, seed);
    domain.runFor(3s);
    for (const auto fault : faults) {
        const int gateway = (fault / 8) % Count;
        switch (fault % 8) {
        case 0:
            domain.kill(gateway);
            domain.restart(gateway);
            break;
        case 1:
            domain.setPaused(gateway, true);
            break;
        case 2:
            domain.setPaused(gateway, false);
            break;
        case 3:
            domain.setRefused(gateway, true);
            break;
        case 4:
            domain.setStoreUp(fault >= 128);
            break;
        case 5:
            domain.cut(gateway, (gateway + 1 + fault / 64) % Count);
            break;
        case 6:
            domain.healAll();
            break;
        default:
            break;
        }
        domain.runFor(std::chrono::milliseconds(100 * (1 + fault % 13)));
    }
    domain.healAll();
    domain.runFor(5s);
    RC_ASSERT(domain.areAllServed());
    domain.runFor(40s);
    RC_ASSERT(domain.areAllServed());
    RC_ASSERT(domain.relayCount() == 1);
}

BOOST_AUTO_TEST_SUITE_END()
