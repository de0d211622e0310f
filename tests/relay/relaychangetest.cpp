#include <boost/test/unit_test.hpp>

#include "storerelay.h"

using namespace cowsliphead;
using namespace std::chrono_literals;

namespace
{

/// Two relays of one failure domain and a gateway that asks one of them, then the other.
struct TwoRelays {
    TwoRelays()
    {
        clock_.advance(1h);
        for (auto *relay : { &steady_, &returning_ }) {
            relay->read({ StoreRelay::entry("a", 4), StoreRelay::entry("b", 5) }, 10);
        }
    }

    /// Lets the gateway ask the relay; its answer arrives after the delay.
    void ask(StoreRelay &relay, std::chrono::milliseconds delay = 0ms)
    {
        const auto askedAt = clock_.now();
        const auto update = relay.state().endpointUpdateFor(gateway_.endpointVersion(), clock_.now());
        clock_.advance(delay);
        if (update) {
            BOOST_REQUIRE(gateway_.applyEndpoints(*update, askedAt).has_value());
        }
    }

    /// The store is away for one of the relays, which finds the removals when it returns and keeps the entries.
    void keepAfterOutage(const std::vector<StoreEntry> &removals, StoreRevision revision)
    {
        returning_.loseStore();
        clock_.advance(5s);
        returning_.change(removals, revision);
    }

    /// The endpoints that the gateway may use.
    std::string usable() const
    {
        std::string ids;
        for (const auto &entry : *gateway_.snapshot().endpoints_) {
            ids += entry.isLeaving_ ? "" : entry.id_.value();
        }
        return ids;
    }

    VirtualClock clock_;
    StoreRelay steady_{ clock_ };
    StoreRelay returning_{ clock_ };
    StoreRelay::State gateway_;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(a_gateway_that_changes_its_relay, TwoRelays)

BOOST_AUTO_TEST_SUITE(while_one_relay_keeps_an_entry_that_another_one_knows_as_removed)

BOOST_AUTO_TEST_CASE(does_not_take_back_an_endpoint_that_it_knew_as_gone)
{
    // Guards against a list that is compared by its revision alone: a relay that has just come back to the store has a newer one and still
    // keeps the entry (namib-verse, store-returns-while-servers-leave, seed 876564132446).
    steady_.change({ StoreRelay::removal("a", 12) }, 12);
    ask(steady_);
    BOOST_TEST(usable() == "b");
    keepAfterOutage({ StoreRelay::removal("a", 12), StoreRelay::entry("c", 19) }, 20);
    ask(returning_);
    BOOST_TEST(usable() == "bc");
}

BOOST_AUTO_TEST_CASE(gives_it_up_when_it_learns_that_it_is_gone)
{
    keepAfterOutage({ StoreRelay::removal("a", 12) }, 20);
    ask(returning_);
    BOOST_TEST(usable() == "ab");
    steady_.change({ StoreRelay::removal("a", 12) }, 21);
    ask(steady_);
    BOOST_TEST(usable() == "b");
}

BOOST_AUTO_TEST_CASE(gives_it_up_though_the_other_relay_knew_that_before_the_outage_ended)
{
    steady_.change({ StoreRelay::removal("a", 12) }, 12);
    keepAfterOutage({ StoreRelay::removal("a", 12) }, 20);
    ask(returning_);
    BOOST_TEST(usable() == "ab");
    steady_.change({}, 21);
    ask(steady_);
    BOOST_TEST(usable() == "b");
}

BOOST_AUTO_TEST_CASE(keeps_it_no_longer_than_the_relay_that_told_it)
{
    keepAfterOutage({ StoreRelay::removal("a", 12) }, 20);
    ask(returning_, 300ms);
    BOOST_TEST(usable() == "ab");
    clock_.advance(1699ms);
    gateway_.expireEndpoints(clock_.now());
    BOOST_TEST(usable() == "ab");
    clock_.advance(1ms);
    gateway_.expireEndpoints(clock_.now());
    BOOST_TEST(usable() == "b");
}

BOOST_AUTO_TEST_CASE(takes_it_once_it_is_written_again)
{
    keepAfterOutage({ StoreRelay::removal("a", 12) }, 20);
    ask(returning_);
    returning_.change({ StoreRelay::entry("a", 22) }, 22);
    ask(returning_);
    clock_.advance(1h);
    gateway_.expireEndpoints(clock_.now());
    BOOST_TEST(usable() == "ab");
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(while_one_relay_is_behind)

BOOST_AUTO_TEST_CASE(stays_with_what_it_knew)
{
    steady_.change({ StoreRelay::removal("a", 12), StoreRelay::entry("c", 13) }, 13);
    ask(steady_);
    ask(returning_);
    BOOST_TEST(usable() == "bc");
}

BOOST_AUTO_TEST_CASE(stays_with_it_though_its_own_relay_had_nothing_to_tell_for_long)
{
    steady_.change({ StoreRelay::removal("a", 12) }, 12);
    ask(steady_);
    steady_.change({}, 40);
    const auto version = gateway_.endpointVersion();
    BOOST_TEST(!steady_.state().endpointUpdateFor(version, clock_.now()).has_value());
    gateway_.confirmEndpoints(version, steady_.state().endpointVersion().revision_);
    // Written and removed between two answers to the other relay's watch.
    returning_.change({ StoreRelay::removal("a", 12), StoreRelay::entry("c", 30) }, 30);
    ask(returning_);
    BOOST_TEST(usable() == "b");
}

BOOST_AUTO_TEST_CASE(takes_the_leaving_of_an_endpoint_after_its_former_relay_gave_up_another_one)
{
    // Guards against a revision that no store has given: the gateway refused the next relay's list as older.
    keepAfterOutage({ StoreRelay::removal("a", 12) }, 20);
    ask(returning_);
    clock_.advance(2s);
    returning_.expire();
    ask(returning_);
    BOOST_TEST(usable() == "b");
    steady_.change({ StoreRelay::removal("a", 12) }, 20);
    steady_.change({ StoreRelay::entry("b", 21, "draining") }, 21);
    ask(steady_);
    BOOST_TEST(usable().empty());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(after_an_endpoint_announced_that_it_leaves)

BOOST_AUTO_TEST_CASE(does_not_use_it_though_a_late_write_calls_it_ready)
{
    steady_.change({ StoreRelay::entry("a", 12, "draining") }, 12);
    ask(steady_);
    BOOST_TEST(usable() == "b");
    // The other relay began to read after the late write.
    returning_.change({ StoreRelay::entry("a", 13), StoreRelay::entry("c", 14) }, 14);
    ask(returning_);
    BOOST_TEST(usable() == "bc");
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
