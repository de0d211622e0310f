#include <boost/test/unit_test.hpp>

#include "core/errorcode.h"
#include "core/virtualclock.h"
#include "store/memorystore.h"

using namespace cowsliphead;

namespace
{

struct Fixture {
    Result<StoreRevision> write(const std::string &key, StoreRevision expected, const LeaseId &lease = {})
    {
        StoreWrite write;
        write.key_ = key;
        write.value_ = "value";
        write.expectedRevision_ = expected;
        write.lease_ = lease;
        return store_.compareAndSwap(write, clock_.now());
    }

    VirtualClock clock_;
    MemoryStore store_;
};

} // namespace

BOOST_AUTO_TEST_SUITE(the_store)

BOOST_FIXTURE_TEST_SUITE(compares_and_swaps, Fixture)

BOOST_AUTO_TEST_CASE(so_that_only_the_first_of_two_writes_creates_a_key)
{
    BOOST_TEST(write("a", 0).has_value());
    BOOST_TEST(write("a", 0).error() == ErrorCode::StoreConflict);
}

BOOST_AUTO_TEST_CASE(so_that_a_write_at_an_old_revision_fails)
{
    const auto first = write("a", 0);
    BOOST_TEST(write("a", *first).has_value());
    BOOST_TEST(write("a", *first).error() == ErrorCode::StoreConflict);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(expires_a_lease, Fixture)

BOOST_AUTO_TEST_CASE(and_erases_its_keys)
{
    const auto lease = store_.grantLease(std::chrono::seconds(5), clock_.now());
    write("duty", 0, lease);
    clock_.advance(std::chrono::seconds(6));
    BOOST_TEST(!store_.read("duty", clock_.now()).has_value());
    BOOST_TEST(store_.renewLease(lease, clock_.now()).error() == ErrorCode::StoreLeaseUnknown);
}

BOOST_AUTO_TEST_CASE(unless_it_is_renewed)
{
    const auto lease = store_.grantLease(std::chrono::seconds(5), clock_.now());
    write("duty", 0, lease);
    clock_.advance(std::chrono::seconds(4));
    BOOST_TEST(store_.renewLease(lease, clock_.now()).has_value());
    clock_.advance(std::chrono::seconds(4));
    BOOST_TEST(store_.read("duty", clock_.now()).has_value());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(reports_to_a_watch, Fixture)

BOOST_AUTO_TEST_CASE(what_was_written_since_in_the_order_of_the_writes)
{
    const auto first = write("log/1", 0);
    write("other", 0);
    write("log/2", 0);
    const auto answer = store_.changesSince("log/", *first, clock_.now());
    BOOST_REQUIRE(answer->entries_.size() == 1);
    BOOST_TEST(answer->entries_.front().key_ == "log/2");
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(comes_back_from_a_copy, Fixture)

BOOST_AUTO_TEST_CASE(in_the_next_era_without_what_was_written_since)
{
    store_.setEra(1);
    const auto kept = write("kept", 0);
    const auto copy = store_;
    const auto lost = write("lost", 0);
    store_.restore(copy, clock_.now());
    BOOST_TEST(!store_.read("lost", clock_.now()).has_value());
    BOOST_TEST((store_.read("kept", clock_.now())->revision_ == StoreRevision(2, kept->number_)));
    const auto again = write("other", 0);
    BOOST_TEST(again->number_ == lost->number_);
    BOOST_TEST((*again > *lost));
}

BOOST_AUTO_TEST_CASE(and_has_no_history_for_a_watch_from_before)
{
    store_.setEra(1);
    const auto copy = store_;
    const auto lost = write("lost", 0);
    store_.restore(copy, clock_.now());
    BOOST_TEST(store_.changesSince("", *lost, clock_.now()).error() == ErrorCode::StoreHistoryGone);
    BOOST_TEST(store_.changesSince("", StoreRevision(2, 0), clock_.now()).has_value());
}

BOOST_AUTO_TEST_CASE(and_gives_out_its_leases_again)
{
    store_.setEra(1);
    const auto copy = store_;
    const auto lost = store_.grantLease(std::chrono::seconds(5), clock_.now());
    store_.restore(copy, clock_.now());
    const auto again = store_.grantLease(std::chrono::seconds(5), clock_.now());
    BOOST_TEST(numberOf(again) == numberOf(lost));
    BOOST_TEST((again != lost));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(writes_under_guards)

BOOST_FIXTURE_TEST_CASE(only_while_other_keys_are_unchanged, Fixture)
{
    const auto guard = write("guard", 0);
    StoreWrite guarded;
    guarded.key_ = "a";
    guarded.guards_.push_back({ "guard", *guard });
    BOOST_TEST(store_.compareAndSwap(guarded, clock_.now()).has_value());
    BOOST_REQUIRE(write("guard", *guard).has_value());
    guarded.key_ = "b";
    BOOST_TEST(store_.compareAndSwap(guarded, clock_.now()).error() == ErrorCode::StoreConflict);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
