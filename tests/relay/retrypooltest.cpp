#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

#include "retrypoolsimulation.h"

using namespace cowsliphead;

namespace
{

constexpr MonotonicTime Start(std::chrono::hours(1));
constexpr ServiceKey Service = 5;

std::uint64_t granted(RetryPool &pool, const char *gateway, std::uint64_t deposited, bool isWanted)
{
    return pool.exchange(InstanceId(gateway), { { Service, deposited, isWanted } }, Start).at(0).total_;
}

} // namespace

BOOST_AUTO_TEST_SUITE(the_pool_of_unused_retries)

RC_BOOST_PROP(never_grants_more_than_was_deposited_whatever_fails, (std::uint32_t seed))
{
    RetryPoolSimulation simulation(seed);
    for (int step = 0; step < 400; ++step) {
        simulation.step();
        RC_ASSERT(simulation.received() <= simulation.deposited());
        RC_ASSERT(simulation.granted() <= simulation.deposited());
    }
}

BOOST_AUTO_TEST_CASE(passes_most_retries_on_if_nothing_fails)
{
    // Guards against a pool that is safe because it grants nothing.
    RetryPool pool;
    pool.setLimit(10);
    granted(pool, "rich", 0, false);
    granted(pool, "poor", 0, true);
    granted(pool, "rich", 6, false);
    std::uint64_t total = 0;
    for (int query = 0; query < 20; ++query) {
        total = granted(pool, "poor", 0, true);
    }
    BOOST_TEST(total == 6U);
}

BOOST_AUTO_TEST_CASE(grants_one_at_a_time_and_only_to_those_who_ask)
{
    RetryPool pool;
    pool.setLimit(10);
    granted(pool, "rich", 0, false);
    granted(pool, "rich", 6, false);
    BOOST_TEST(granted(pool, "poor", 0, true) == 0U);
    BOOST_TEST(granted(pool, "poor", 0, true) == 1U);
    BOOST_TEST(granted(pool, "poor", 0, false) == 1U);
    BOOST_TEST(granted(pool, "rich", 6, false) == 0U);
}

BOOST_AUTO_TEST_CASE(holds_no_more_than_its_limit)
{
    RetryPool pool;
    granted(pool, "rich", 0, false);
    granted(pool, "rich", 6, false);
    granted(pool, "poor", 0, true);
    BOOST_TEST(granted(pool, "poor", 0, true) == 0U);
    pool.setLimit(2);
    granted(pool, "rich", 100, false);
    std::uint64_t total = 0;
    for (int query = 0; query < 20; ++query) {
        total = granted(pool, "poor", 0, true);
    }
    BOOST_TEST(total == 2U);
}

BOOST_AUTO_TEST_CASE(costs_nothing_for_gateways_that_deposit_nothing)
{
    RetryPool pool;
    BOOST_TEST(pool.exchange(InstanceId("plain"), {}, Start).empty());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(a_gateway_that_deposits_retries)

BOOST_AUTO_TEST_CASE(deposits_each_of_them_with_one_relay)
{
    // Guards against retries that two relays count: the gateway returns to a relay that still knows its total of before.
    const PeerAddress first{ "10.0.0.1", 1 };
    const PeerAddress second{ "10.0.0.2", 1 };
    RetryDepositLedger ledger;
    const auto report = [&](const PeerAddress &relay, std::uint64_t total) { return ledger.reportTo(relay, { { Service, total, false } }).at(0).total_; };
    BOOST_TEST(report(first, 2) == 0U);
    BOOST_TEST(report(first, 5) == 5U);
    BOOST_TEST(report(second, 9) == 0U);
    BOOST_TEST(report(second, 10) == 5U);
    BOOST_TEST(report(first, 12) == 7U);
    BOOST_TEST(report(second, 12) == 5U);
}

BOOST_AUTO_TEST_SUITE_END()
