#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

#include <algorithm>

#include "duty/scaledfleet.h"

using namespace cowsliphead;
using namespace std::chrono_literals;

namespace
{

constexpr std::uint32_t Original = 20;
constexpr std::uint32_t Limit = 40;

/// Running requests and prefilling engines whose need exceeds the least number of endpoints (30) and leaves room for a burst.
constexpr double Running = 200;
constexpr double Prefilling = 3;
constexpr double Burst = 2.4;

ScaledFleet threeDomains()
{
    return ScaledFleet({ "a", "b", "c" }, Original, Limit);
}

/// Endpoints that carry the load with all slots in use.
double endpointsFor(double running, double prefilling)
{
    return std::max(running / ScaledFleet::Slots * 3 / 2, prefilling * 3);
}

std::uint32_t survivors(const ScaledFleet &fleet)
{
    std::uint32_t worst = 0;
    for (const auto &domain : fleet.domains()) {
        worst = std::max(worst, fleet.count(domain, true));
    }
    return fleet.total() - worst;
}

} // namespace

BOOST_AUTO_TEST_SUITE(a_plan_by_need)

BOOST_AUTO_TEST_SUITE(at_the_start_of_the_day)

BOOST_AUTO_TEST_CASE(replaces_base_endpoints_as_soon_as_reclaimable_ones_run)
{
    // Guards against paying the full price of the original endpoints for longer than an endpoint takes to start.
    auto fleet = threeDomains();
    fleet.run(6s, Running, Prefilling, [&] { BOOST_TEST(fleet.total() >= 3 * Original); });
    BOOST_TEST(fleet.count("a", false) == 2U);
    BOOST_TEST(fleet.count("a", true) >= Original - 2);
}

BOOST_AUTO_TEST_CASE(orders_no_more_than_the_need_and_the_loss_of_a_domain_ask_for)
{
    // Guards against 38 reclaimable and 2 base endpoints in each domain whatever the load.
    auto fleet = threeDomains();
    fleet.run(60s, Running, Prefilling);
    BOOST_TEST(fleet.total() <= 48U);
    BOOST_TEST(survivors(fleet) >= endpointsFor(Running, Prefilling) / 0.45);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_CASE(keeps_the_base_endpoints_where_no_reclaimable_ones_are_available)
{
    auto fleet = threeDomains();
    for (const auto &domain : fleet.domains()) {
        fleet.reclaim(domain);
    }
    fleet.run(60s, 1, 1, [&] { BOOST_TEST(fleet.total() == 3 * Original); });
}

BOOST_AUTO_TEST_SUITE(in_a_burst_of_two_and_a_half_times_the_mean)

BOOST_AUTO_TEST_CASE(already_has_the_endpoints_for_it_and_grows_at_once)
{
    auto fleet = threeDomains();
    fleet.run(60s, Running, Prefilling);
    const auto before = fleet.total();
    BOOST_TEST(before >= endpointsFor(Running * Burst, Prefilling * Burst));
    fleet.run(7s, Running * Burst, Prefilling * Burst, [&] { BOOST_TEST(fleet.total() >= before); });
    BOOST_TEST(fleet.total() > before + before / 2);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(when_the_reclaimable_endpoints_of_a_domain_are_lost)

BOOST_AUTO_TEST_CASE(the_others_carry_the_load_and_base_endpoints_replace_them)
{
    auto fleet = threeDomains();
    fleet.run(60s, Running, Prefilling);
    fleet.reclaim("b");
    BOOST_TEST(fleet.total() >= endpointsFor(Running, Prefilling) / 0.45);
    fleet.run(6s, Running, Prefilling, [&] { BOOST_TEST(fleet.total() >= endpointsFor(Running, Prefilling) / 0.45); });
    BOOST_TEST(fleet.count("b", false) >= Original / 2);
    BOOST_TEST(fleet.count("b", false) <= Original);
}

BOOST_AUTO_TEST_CASE(they_come_back_once_the_platform_has_some)
{
    auto fleet = threeDomains();
    fleet.run(60s, Running, Prefilling);
    fleet.reclaim("b");
    fleet.run(20s, Running, Prefilling);
    fleet.restore("b");
    fleet.run(20s, Running, Prefilling);
    BOOST_TEST(fleet.count("b", false) == 2U);
    BOOST_TEST(fleet.count("b", true) >= Original / 2 - 2);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(in_a_slow_decline)

BOOST_AUTO_TEST_CASE(shrinks_by_at_most_a_fifth_of_a_domain_in_five_seconds)
{
    auto fleet = threeDomains();
    fleet.run(40s, Running * 2, Prefilling * 2);
    const auto before = fleet.total();
    for (double load = Running * 2; load >= Running / 2; load -= Running / 10) {
        const auto previous = fleet.committed("a");
        fleet.run(5s, load, 2);
        BOOST_TEST(fleet.committed("a") + previous / 5 + 1 >= previous);
    }
    fleet.run(20s, Running / 2, 2);
    BOOST_TEST(fleet.total() < before / 2);
    BOOST_TEST(fleet.total() >= 3 * Original / 2);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_CASE(stays_unchanged_while_the_load_scatters_by_a_twentieth)
{
    auto fleet = threeDomains();
    fleet.run(60s, Running * 2, Prefilling);
    const auto orders = fleet.orders();
    for (int round = 0; round < 4; ++round) {
        fleet.run(15s, Running * 1.9, Prefilling);
        fleet.run(15s, Running * 2, Prefilling);
    }
    BOOST_TEST(fleet.orders() == orders);
}

BOOST_AUTO_TEST_SUITE(of_a_new_holder_of_the_duty)

BOOST_AUTO_TEST_CASE(goes_on_from_the_stored_one_and_does_not_shrink_before_it_has_seen_ten_seconds_of_load)
{
    auto fleet = threeDomains();
    fleet.run(40s, Running * 2, Prefilling * 2);
    const auto before = fleet.total();
    fleet.changeHolder();
    fleet.run(9500ms, Running / 2, 1, [&] { BOOST_TEST(fleet.total() == before); });
    fleet.run(20s, Running / 2, 1);
    BOOST_TEST(fleet.total() < before);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(without_reports_of_the_load)

BOOST_AUTO_TEST_CASE(stays_unchanged)
{
    // Guards against a fleet that is reduced because the relay is gone.
    auto fleet = threeDomains();
    fleet.run(40s, Running * 2, Prefilling * 2);
    const auto before = fleet.total();
    fleet.setReporting(false);
    fleet.run(60s, 0, 0, [&] { BOOST_TEST(fleet.total() == before); });
    fleet.setReporting(true);
    fleet.run(9500ms, 0, 0, [&] { BOOST_TEST(fleet.total() == before); });
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_CASE(is_not_made_for_services_whose_cache_is_not_compact)
{
    ScaledFleet fleet({ "a", "b", "c" }, Original, Limit, 327680);
    fleet.run(60s, 1, 1);
    BOOST_TEST(fleet.total() == 3 * Limit);
}

BOOST_AUTO_TEST_CASE(keeps_its_limits_and_never_falls_below_the_least_number_property)
{
    const bool holds = rc::check("limits and least number", [] {
        const auto original = *rc::gen::inRange<std::uint32_t>(2, 30);
        const auto limit = original + *rc::gen::inRange<std::uint32_t>(1, 30);
        ScaledFleet fleet({ "a", "b", "c" }, original, limit);
        const auto check = [&] {
            for (const auto &domain : fleet.domains()) {
                RC_ASSERT(fleet.committed(domain) <= limit);
                RC_ASSERT(fleet.count(domain, false) <= original);
                RC_ASSERT(fleet.count(domain, false) + fleet.count(domain, true) >= (original + 1) / 2);
            }
        };
        for (int phase = 0; phase < 5; ++phase) {
            const auto running = *rc::gen::inRange(0, 2000);
            const auto prefilling = *rc::gen::inRange(0, 40);
            fleet.run(std::chrono::seconds(*rc::gen::inRange(2, 30)), running, prefilling, check);
        }
    });
    BOOST_TEST(holds);
}

BOOST_AUTO_TEST_CASE(does_not_oscillate_under_constant_load_property)
{
    const bool holds = rc::check("no oscillation", [] {
        const auto original = *rc::gen::inRange<std::uint32_t>(2, 40);
        ScaledFleet fleet({ "a", "b", "c" }, original, 2 * original);
        const auto running = *rc::gen::inRange(0, 2000);
        const auto prefilling = *rc::gen::inRange(0, 40);
        fleet.run(90s, running, prefilling);
        const auto orders = fleet.orders();
        fleet.run(60s, running, prefilling);
        RC_ASSERT(fleet.orders() == orders);
    });
    BOOST_TEST(holds);
}

BOOST_AUTO_TEST_SUITE_END()
