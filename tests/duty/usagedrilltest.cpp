#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "duty/storecopies.h"
#include "duty/usagegateway.h"

using namespace cowsliphead;
using namespace std::chrono_literals;

namespace
{

constexpr std::chrono::milliseconds Turn{ 50 };
constexpr std::size_t GatewayCount = 3;
constexpr std::chrono::milliseconds WindowLength = DutySettings().windowLength_;
const AccountId Account("press");

/// Gateways that count a request each 100 ms and report them.
struct UsageSite {
    UsageSite()
    {
        clock_.advance(1h);
        for (std::size_t number = 0; number < GatewayCount; ++number) {
            gateways_.push_back(nullptr);
            start(number);
        }
    }

    /// Ends the process of a gateway without notice and starts the next one.
    void start(std::size_t number)
    {
        const auto name = "gateway-" + std::to_string(number) + "-" + std::to_string(++runs_);
        gateways_[number] = std::make_unique<UsageGateway>(copies_.store(), clock_, reports_, name);
    }

    void run(
        std::chrono::milliseconds duration, const std::function<bool()> &isOver = [] { return false; })
    {
        for (const auto end = clock_.now() + duration; clock_.now() < end && !isOver(); clock_.advance(Turn)) {
            copies_.tick();
            const bool isCounting = clock_.now().time_since_epoch() % 100ms == 0ms;
            for (auto &gateway : gateways_) {
                gateway->store().releaseDelayedWrites();
                if (isCounting) {
                    gateway->count(Account);
                }
                gateway->run(GatewayCount);
            }
        }
    }

    void drill(std::chrono::milliseconds copyAge, std::chrono::milliseconds away)
    {
        setFault(StandinFault::Down);
        run(away);
        copies_.restore(copyAge);
        setFault(StandinFault::None);
    }

    void setFault(StandinFault fault)
    {
        for (auto &gateway : gateways_) {
            gateway->store().setFault(fault);
        }
    }

    UsageWindow window() const
    {
        return usageWindowAt(clock_.wallNow(), WindowLength);
    }

    /// Runs until a window ends, and on until it is reported.
    UsageWindow reportNext()
    {
        const auto next = window();
        run(20s, [&] { return reports_.contains(next); });
        BOOST_REQUIRE(reports_.contains(next));
        return next;
    }

    /// Number of the gateway that holds the duties; GatewayCount if there is none.
    std::size_t holder() const
    {
        std::size_t number = 0;
        while (number < GatewayCount && !gateways_[number]->mayAct()) {
            ++number;
        }
        return number;
    }

    VirtualClock clock_;
    StoreCopies copies_{ clock_ };
    UsageReports reports_;
    std::vector<std::unique_ptr<UsageGateway>> gateways_;
    int runs_ = 0;
};

int anyOf(int from, int to)
{
    return *rc::gen::resize(rc::kNominalSize, rc::gen::inRange(from, to));
}

/// Brings about a fault of a gateway, or a drill of the store.
void injectFault(UsageSite &site)
{
    const auto number = static_cast<std::size_t>(anyOf(0, GatewayCount));
    auto &gateway = *site.gateways_[number];
    switch (anyOf(0, 8)) {
    case 0:
    case 1:
        site.drill(std::chrono::milliseconds(anyOf(100, 8000)), std::chrono::milliseconds(anyOf(20, 2000)));
        break;
    case 2:
        site.start(number);
        break;
    case 3:
        gateway.freeze(std::chrono::milliseconds(anyOf(10, 8000)));
        break;
    case 4:
        gateway.resign();
        break;
    case 5:
        gateway.platform().isAnswerLost_ = *rc::gen::arbitrary<bool>();
        break;
    default:
        gateway.store().setFault(*rc::gen::element(StandinFault::Down, StandinFault::Slow, StandinFault::LoseAnswers, StandinFault::None));
        break;
    }
}

} // namespace

// Guards against a window that is reported again with what a copy of the store has of it (review/13).
BOOST_AUTO_TEST_SUITE(usage_reports_to_a_store_that_came_back_from_a_copy)

BOOST_AUTO_TEST_CASE(go_on_with_full_counts_while_their_holder_lives)
{
    constexpr std::uint64_t Requests = GatewayCount * (WindowLength / 100ms);
    for (const auto age : { 500ms, 2000ms, 4000ms }) {
        UsageSite site;
        site.reportNext();
        site.reportNext();
        const auto first = site.window();
        site.run(1s);
        site.drill(age, 500ms);
        site.run(30s);
        for (auto window = first; window < first + 5; ++window) {
            BOOST_TEST(site.reports_.requestsOf(Account, window) == Requests);
        }
        BOOST_TEST(site.reports_.contradictions() == 0U);
    }
}

BOOST_AUTO_TEST_CASE(repeat_the_same_counts_if_their_holder_stops_soon_after)
{
    UsageSite site;
    const auto window = site.reportNext();
    site.drill(3s, 500ms);
    site.run(2s);
    for (auto &gateway : site.gateways_) {
        gateway->resign();
    }
    site.run(20s);
    BOOST_TEST(site.reports_.contradictions() == 0U);
    BOOST_TEST(site.reports_.contains(window + 3));
}

BOOST_AUTO_TEST_CASE(leave_out_what_only_a_holder_knew_that_has_died)
{
    UsageSite site;
    site.reportNext();
    const auto holder = site.holder();
    BOOST_REQUIRE(holder < GatewayCount);
    site.drill(3s, 500ms);
    site.start(holder);
    site.run(30s);
    BOOST_TEST(site.reports_.contradictions() == 0U);
    BOOST_TEST(site.reports_.contains(site.window() - 3));
}

BOOST_AUTO_TEST_CASE(leave_out_what_a_holder_knew_that_was_cut_off_and_returns_later)
{
    UsageSite site;
    site.reportNext();
    const auto holder = site.holder();
    BOOST_REQUIRE(holder < GatewayCount);
    site.drill(3s, 500ms);
    site.gateways_[holder]->store().setFault(StandinFault::Down);
    site.run(15s);
    site.gateways_[holder]->store().setFault(StandinFault::None);
    site.run(30s);
    BOOST_TEST(site.reports_.contradictions() == 0U);
}

BOOST_AUTO_TEST_CASE(are_the_same_after_two_drills_within_seconds)
{
    for (int seed = 0; seed < 40; ++seed) {
        UsageSite site;
        site.reportNext();
        site.run(std::chrono::milliseconds(50 * seed));
        site.drill(2s, 300ms);
        site.run(std::chrono::milliseconds(100 * seed));
        site.drill(4s, 300ms);
        site.run(std::chrono::milliseconds(150 * (40 - seed)));
        site.start(static_cast<std::size_t>(seed) % GatewayCount);
        site.run(20s);
        BOOST_TEST(site.reports_.contradictions() == 0U);
        BOOST_TEST(site.reports_.sharedFences() == 0U);
    }
}

BOOST_AUTO_TEST_CASE(never_contradict_each_other_property)
{
    const bool holds = rc::check("no window is reported with different counts under any faults and drills", [] {
        UsageSite site;
        const auto faults = anyOf(1, 25);
        for (int number = 0; number < faults; ++number) {
            site.run(std::chrono::milliseconds(anyOf(50, 4000)));
            injectFault(site);
        }
        site.run(10s);
        RC_ASSERT(site.reports_.contradictions() == 0U);
        RC_ASSERT(site.reports_.sharedFences() == 0U);
    });
    BOOST_TEST(holds);
}

BOOST_AUTO_TEST_SUITE_END()
