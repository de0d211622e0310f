#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <memory>

#include "core/virtualclock.h"
#include "fakestore.h"
#include "fleet/registry.h"
#include "platform/platformfleetcodec.h"
#include "task/eventloop.h"
#include "task/timer.h"

using namespace cowsliphead;
using namespace std::chrono_literals;

namespace
{

StoreEntry configuration(StoreRevision revision)
{
    return { "op/config", R"({"version":1,"routes":[],"services":[]})", revision, false };
}

StoreEntry server(const std::string &id, StoreRevision revision, const std::string &state = "ready")
{
    return { "servers/" + id, R"({"service":"s","address":"10.0.0.1:80","zone":"a","slots":1,"state":")" + state + R"("})", revision, false };
}

StoreEntry removed(const std::string &id, StoreRevision revision)
{
    return { "servers/" + id, {}, revision, true };
}

/// A registry that has read its first configuration and one server, and watches.
struct Watching {
    Watching()
    {
        registry_.start();
        store_.ranges_["servers/"](StoreRange{ { server("i-1", 4) }, false, 11 });
        store_.ranges_["op/config"](StoreRange{ { configuration(3) }, false, 10 });
        settle();
    }

    void answer(std::vector<StoreEntry> events, StoreRevision revision)
    {
        store_.watches_["servers/"](WatchAnswer{ std::move(events), revision });
    }

    void configure(std::vector<StoreEntry> events, StoreRevision revision)
    {
        store_.watches_["op/config"](WatchAnswer{ std::move(events), revision });
    }

    void fail(ErrorCode code)
    {
        store_.watches_["servers/"](failure(code));
    }

    /// Lets what follows at once happen.
    void settle()
    {
        Timer end(loop_, [this] { loop_.stop(); });
        end.startOnce(20ms);
        loop_.run();
    }

    bool isListed(const std::string &id) const
    {
        return std::any_of(snapshot_.endpoints_->begin(), snapshot_.endpoints_->end(), [&id](const EndpointEntry &entry) { return entry.id_.value() == id; });
    }

    EventLoop loop_;
    FakeStore store_;
    VirtualClock clock_;
    FleetSnapshot snapshot_;
    int looks_ = 0;
    Registry<FakeStore, PlatformFleetCodec, VirtualClock> registry_{
        loop_,
        store_,
        clock_,
        2000ms,
        { Address<FleetSnapshot>([this](FleetSnapshot snapshot) { snapshot_ = std::move(snapshot); }),
          {},
          Address<ConfigurationConfirmed>([this](ConfigurationConfirmed /*look*/) { ++looks_; }) }
    };
};

} // namespace

BOOST_AUTO_TEST_SUITE(the_registry)

BOOST_AUTO_TEST_CASE(watches_on_from_its_first_reading)
{
    Watching watching;
    BOOST_TEST(watching.store_.watchedAfter_["servers/"] == 11U);
    BOOST_TEST(watching.store_.watchedAfter_["op/config"] == 10U);
    BOOST_TEST(watching.isListed("i-1"));
    BOOST_TEST(watching.looks_ == 1);
}

BOOST_AUTO_TEST_SUITE(a_server_whose_entry_goes)

BOOST_AUTO_TEST_CASE(while_the_store_answers_is_gone_at_once)
{
    Watching watching;
    watching.answer({ removed("i-1", 12) }, 12);
    BOOST_TEST(!watching.isListed("i-1"));
}

BOOST_AUTO_TEST_CASE(while_the_store_was_away_is_waited_for)
{
    Watching watching;
    watching.fail(ErrorCode::StoreUnavailable);
    watching.clock_.advance(4s);
    watching.answer({ removed("i-1", 12) }, 12);
    BOOST_TEST(watching.isListed("i-1"));
}

BOOST_AUTO_TEST_CASE(after_the_store_recovers_is_removed_at_once)
{
    // Found by a hunt (trouble-1, seed 809786741538): removals up to three seconds after the return were taken for lapses.
    Watching watching;
    watching.fail(ErrorCode::StoreUnavailable);
    watching.clock_.advance(4s);
    watching.answer({}, 12);
    watching.clock_.advance(2500ms);
    watching.answer({ removed("i-1", 13) }, 13);
    BOOST_TEST(!watching.isListed("i-1"));
}

BOOST_AUTO_TEST_CASE(while_only_a_connection_was_lost_is_gone_at_once)
{
    Watching watching;
    watching.fail(ErrorCode::StoreUnavailable);
    watching.clock_.advance(200ms);
    watching.answer({ removed("i-1", 12) }, 12);
    BOOST_TEST(!watching.isListed("i-1"));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_CASE(after_a_failure_looks_at_once_how_recent_its_configuration_is)
{
    Watching watching;
    watching.store_.watches_["op/config"](failure(ErrorCode::StoreUnavailable));
    watching.store_.ranges_.clear();
    Timer end(watching.loop_, [&watching] { watching.loop_.stop(); });
    end.startOnce(200ms);
    watching.loop_.run();
    BOOST_REQUIRE(watching.store_.ranges_.contains("op/config"));
    watching.store_.ranges_["op/config"](StoreRange{ { configuration(3) }, false, 12 });
    BOOST_TEST(watching.looks_ == 2);
}

BOOST_AUTO_TEST_CASE(never_goes_back_to_an_older_configuration)
{
    Watching watching;
    auto newer = configuration(20);
    newer.value_ = R"({"version":9,"routes":[],"services":[]})";
    watching.configure({ newer }, 20);
    watching.configure({ configuration(3) }, 20);
    BOOST_TEST(watching.snapshot_.configuration_->version_ == 9U);
}

BOOST_AUTO_TEST_CASE(keeps_the_last_configuration_that_can_be_read)
{
    Watching watching;
    auto broken = configuration(20);
    broken.value_ = "{";
    watching.configure({ broken }, 20);
    BOOST_TEST(watching.snapshot_.configuration_->version_ == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
