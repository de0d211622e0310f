#include <deque>

#include <boost/test/unit_test.hpp>

#include "core/systemclock.h"
#include "fleet/fakestore.h"
#include "relay/quarantinestore.h"
#include "task/eventloop.h"

using namespace cowsliphead;
using namespace std::chrono_literals;

namespace
{

constexpr SuspectKey Part{ 0x1f };
const std::string Key = "quarantine/000000000000001f";
const std::string Value = R"({"crashes":[{"ageMs":5,"endpoint":18446744073709551615,"heldMs":40,"parts":[31],"request":2}]})";
const std::vector<CrashSighting> Evidence{ { IncarnationKey(~0ULL), SuspectKey(2), { Part }, 40ms, 5ms, false } };

/// Passes each call on to a store that outlives the client.
class StoreClient
{
public:
    explicit StoreClient(FakeStore &store)
        : store_(store)
    {
    }

    void range(const std::string &prefix, const std::string &after, FakeStore::Range reply)
    {
        store_.range(prefix, after, std::move(reply));
    }

    void watch(const std::string &prefix, StoreRevision after, std::chrono::milliseconds wait, FakeStore::Watch reply)
    {
        store_.watch(prefix, after, wait, std::move(reply));
    }

    void compareAndSwap(const StoreWrite &write, const StoreReply<StoreRevision> &reply)
    {
        store_.compareAndSwap(write, reply);
    }

    void read(const std::string & /*key*/, const StoreReply<std::optional<StoreEntry>> & /*reply*/)
    {
    }

    void list(const std::string & /*prefix*/, const std::string & /*after*/, std::size_t /*limit*/, const StoreReply<std::vector<StoreEntry>> & /*reply*/)
    {
    }

    void erase(const std::vector<std::string> & /*keys*/, const StoreReply<StoreRevision> & /*reply*/)
    {
    }

    void grantLease(std::chrono::milliseconds duration, const StoreReply<LeaseId> &reply)
    {
        store_.grantLease(duration, reply);
    }

    void renewLease(const LeaseId & /*lease*/, const StoreReply<LeaseId> & /*reply*/)
    {
    }

    void revokeLease(const LeaseId & /*lease*/, const StoreReply<LeaseId> & /*reply*/)
    {
    }

    StoreEra era() const
    {
        return store_.era();
    }

private:
    FakeStore &store_;
};

struct Fixture {
    EventLoop loop_;
    FakeStore store_;
    std::vector<CrashSighting> crashes_;
    int newEras_ = 0;
    QuarantineStore<StoreClient> quarantine_{
        loop_,
        std::make_unique<StoreClient>(store_),
        [this](const CrashReports &reports) { crashes_.insert(crashes_.end(), reports.sightings_.begin(), reports.sightings_.end()); },
        [this] { ++newEras_; },
    };

    Fixture()
    {
        quarantine_.start();
    }

    void answerRead(std::vector<StoreEntry> entries)
    {
        store_.ranges_["quarantine/"](StoreRange{ std::move(entries), false, 10 });
    }

    void run(std::chrono::milliseconds time = 1200ms)
    {
        Timer end(loop_, [this] { loop_.stop(); });
        end.startOnce(time);
        loop_.run();
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(the_quarantined_suspects_in_the_store, Fixture)

BOOST_AUTO_TEST_CASE(are_read_at_the_start_and_watched_from_then_on)
{
    answerRead({ { Key, Value, 9, false } });
    BOOST_TEST(store_.watchedAfter_["quarantine/"] == 10U);
    store_.watches_["quarantine/"](WatchAnswer{ { { "quarantine/s", Value, 11, false } }, 11 });
    BOOST_REQUIRE(crashes_.size() == 2U);
    BOOST_TEST((crashes_[0] == Evidence[0]));
    BOOST_TEST((crashes_[1] == Evidence[0]));
}

BOOST_AUTO_TEST_CASE(that_cannot_be_decoded_are_left_out)
{
    answerRead({ { "quarantine/a", "", 1, false },
                 { "quarantine/b", "[]", 2, false },
                 { "quarantine/c", R"({"crashes":3})", 3, false },
                 { "quarantine/d", R"({"crashes":[3]})", 4, false },
                 { "quarantine/e", R"({"crashes":[{"ageMs":-5,"endpoint":1,"heldMs":40,"parts":[],"request":2}]})", 5, false },
                 { "quarantine/f", R"({"crashes":[{"ageMs":5,"endpoint":1,"heldMs":40,"parts":["p"],"request":2}]})", 6, false },
                 { "quarantine/g", R"({"crashes":[{"ageMs":5,"endpoint":18446744073709551616,"heldMs":40,"parts":[],"request":2}]})", 7, false },
                 { Key, Value, 8, false } });
    BOOST_REQUIRE(crashes_.size() == 1U);
    BOOST_TEST((crashes_[0] == Evidence[0]));
}

BOOST_AUTO_TEST_CASE(are_written_under_a_lease_unless_they_are_there)
{
    answerRead({});
    quarantine_.put(Part, Evidence, SystemClock().now());
    run(600ms);
    BOOST_REQUIRE(store_.leaseReplies_.size() == 1U);
    store_.leaseReplies_[0](LeaseId("7"));
    BOOST_REQUIRE(store_.writes_.size() == 1U);
    BOOST_TEST(store_.writes_[0].key_ == Key);
    BOOST_TEST(store_.writes_[0].value_ == Value);
    BOOST_TEST(store_.writes_[0].expectedRevision_ == 0U);
    BOOST_TEST((store_.writes_[0].lease_ == LeaseId("7")));
    store_.writeReplies_[0](failure(ErrorCode::StoreConflict));
    quarantine_.put(Part, Evidence, SystemClock().now());
    run();
    BOOST_TEST(store_.leaseReplies_.size() == 1U);
}

BOOST_AUTO_TEST_CASE(are_written_again_after_an_answer_that_was_lost)
{
    answerRead({});
    quarantine_.put(Part, Evidence, SystemClock().now());
    run(600ms);
    store_.leaseReplies_[0](failure(ErrorCode::StoreUnavailable));
    run(600ms);
    BOOST_REQUIRE(store_.leaseReplies_.size() == 2U);
    store_.leaseReplies_[1](LeaseId("7"));
    store_.writeReplies_[0](failure(ErrorCode::StoreUnavailable));
    run(600ms);
    BOOST_TEST(store_.leaseReplies_.size() == 3U);
}

BOOST_AUTO_TEST_CASE(are_left_to_the_relay_that_found_them_for_a_while)
{
    answerRead({});
    quarantine_.put(Part, Evidence, SystemClock().now() + 900ms);
    run(600ms);
    BOOST_TEST(store_.leaseReplies_.empty());
    store_.watches_["quarantine/"](WatchAnswer{ { { Key, Value, 11, false } }, 11 });
    run();
    BOOST_TEST(store_.leaseReplies_.empty());
}

BOOST_AUTO_TEST_CASE(are_read_again_once_the_store_has_forgotten_its_history)
{
    answerRead({});
    store_.ranges_.clear();
    store_.watches_["quarantine/"](failure(ErrorCode::StoreHistoryGone));
    run(600ms);
    BOOST_REQUIRE(store_.ranges_.contains("quarantine/"));
    answerRead({ { Key, Value, 9, false } });
    BOOST_TEST(crashes_.size() == 1U);
}

// Guards against evidence that a store which came back from a copy has lost, and that nobody puts there again.
BOOST_AUTO_TEST_SUITE(after_the_store_came_back_from_a_copy)

BOOST_AUTO_TEST_CASE(are_read_again_and_then_those_that_are_missing_can_be_put_there)
{
    store_.ranges_["quarantine/"](StoreRange{ { { Key, Value, { 1, 9 }, false } }, false, { 1, 100 } });
    BOOST_TEST(newEras_ == 0);
    store_.watches_["quarantine/"](failure(ErrorCode::StoreHistoryGone));
    store_.ranges_.clear();
    run();
    BOOST_REQUIRE(store_.ranges_.contains("quarantine/"));
    store_.ranges_["quarantine/"](StoreRange{ {}, false, { 2, 60 } });
    BOOST_TEST(newEras_ == 1);
    BOOST_TEST((store_.watchedAfter_["quarantine/"] == StoreRevision(2, 60)));
    quarantine_.put(Part, Evidence, SystemClock().now());
    run();
    BOOST_TEST(store_.leaseReplies_.size() == 1U);
}

BOOST_AUTO_TEST_CASE(are_read_from_the_start_if_it_came_back_between_two_pages)
{
    store_.ranges_["quarantine/"](StoreRange{ { { Key, Value, { 1, 9 }, false } }, true, { 1, 100 } });
    store_.ranges_["quarantine/"](StoreRange{ {}, false, { 2, 60 } });
    store_.ranges_["quarantine/"](StoreRange{ {}, false, { 2, 61 } });
    BOOST_TEST((store_.watchedAfter_["quarantine/"] == StoreRevision(2, 61)));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
