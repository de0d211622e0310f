#include <boost/test/unit_test.hpp>

#include "fleet/endpointdirectory.h"

using namespace cowsliphead;
using namespace std::chrono_literals;

namespace
{

constexpr MonotonicTime Now(1h);

EndpointEntry entry(const std::string &id)
{
    EndpointEntry made;
    made.id_ = EndpointId(id);
    return made;
}

/// Applies writes and removals to a directory in the order of their revisions, as a reader of the store does.
class StoreReader
{
public:
    bool update(const EndpointEntry &entry)
    {
        ++revision_;
        const bool isApplied = directory_.update(entry, revision_);
        directory_.readUpTo(revision_);
        return isApplied;
    }

    void remove(const EndpointId &id, std::optional<MonotonicTime> keepUntil)
    {
        directory_.remove(id, ++revision_, keepUntil);
        directory_.readUpTo(revision_);
    }

    void replaceAll(const std::vector<EndpointEntry> &entries)
    {
        EndpointList list{ ++revision_, {} };
        for (const auto &entry : entries) {
            list.registrations_.push_back({ entry, revision_, std::nullopt });
        }
        directory_.replaceAll(list, std::nullopt);
    }

    bool expire(MonotonicTime now)
    {
        return directory_.expire(now);
    }

    std::vector<EndpointEntry> entries() const
    {
        return directory_.entries();
    }

private:
    EndpointDirectory directory_;
    StoreRevision revision_ = 0;
};

} // namespace

BOOST_AUTO_TEST_SUITE(the_directory_of_endpoints)

BOOST_AUTO_TEST_SUITE(an_entry_that_is_erased_in_the_store)

BOOST_AUTO_TEST_CASE(is_removed_at_once_while_the_store_is_available)
{
    StoreReader directory;
    directory.update(entry("a"));
    directory.remove(EndpointId("a"), std::nullopt);
    BOOST_TEST(directory.entries().empty());
}

BOOST_AUTO_TEST_CASE(is_kept_after_a_store_outage_and_then_removed)
{
    StoreReader directory;
    directory.update(entry("a"));
    directory.remove(EndpointId("a"), Now + 2s);
    BOOST_TEST(directory.entries().size() == 1U);
    BOOST_TEST(!directory.expire(Now + 1999ms));
    BOOST_TEST(directory.expire(Now + 2s));
    BOOST_TEST(directory.entries().empty());
}

BOOST_AUTO_TEST_CASE(stays_if_it_is_written_again_before_the_deadline)
{
    StoreReader directory;
    directory.update(entry("a"));
    directory.remove(EndpointId("a"), Now + 2s);
    directory.update(entry("a"));
    BOOST_TEST(!directory.expire(Now + 1h));
    BOOST_TEST(directory.entries().size() == 1U);
}

BOOST_AUTO_TEST_CASE(of_an_endpoint_that_announced_its_leaving_is_always_removed_at_once)
{
    StoreReader directory;
    auto leaving = entry("a");
    leaving.isLeaving_ = true;
    directory.update(leaving);
    directory.remove(EndpointId("a"), Now + 2s);
    BOOST_TEST(directory.entries().empty());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(a_late_write)

BOOST_AUTO_TEST_CASE(does_not_restore_an_endpoint_that_announced_its_leaving)
{
    StoreReader directory;
    auto leaving = entry("a");
    leaving.isLeaving_ = true;
    directory.update(leaving);
    directory.update(entry("a"));
    BOOST_TEST(directory.entries().front().isLeaving_);
    directory.remove(EndpointId("a"), std::nullopt);
    directory.update(entry("a"));
    BOOST_TEST(directory.entries().empty());
}

BOOST_AUTO_TEST_CASE(that_is_older_than_the_known_entry_is_ignored)
{
    StoreReader directory;
    auto newer = entry("a");
    newer.sequence_ = 5;
    newer.slots_ = 9;
    directory.update(newer);
    directory.update(entry("a"));
    BOOST_TEST(directory.entries().front().slots_ == 9U);
}

BOOST_AUTO_TEST_CASE(of_the_next_incarnation_is_applied)
{
    StoreReader directory;
    auto leaving = entry("a");
    leaving.isLeaving_ = true;
    directory.update(leaving);
    auto next = entry("a");
    next.incarnation_ = 1;
    directory.update(next);
    BOOST_TEST(!directory.entries().front().isLeaving_);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_CASE(a_full_read_removes_the_entries_it_does_not_contain)
{
    StoreReader directory;
    directory.update(entry("a"));
    directory.replaceAll({ entry("b") });
    BOOST_REQUIRE(directory.entries().size() == 1U);
    BOOST_TEST(directory.entries().front().id_.value() == "b");
}

// Guards against requests to an endpoint whose leaving the store forgot when it came back from a copy (review/14).
BOOST_AUTO_TEST_SUITE(after_the_store_came_back_from_a_copy)

/// A directory that has read two endpoints in the first era.
struct Restored {
    Restored()
    {
        read({ 1, 100 }, { { entry("a"), { 1, 90 }, {} }, { entry("b"), { 1, 91 }, {} } });
    }

    void read(const StoreRevision &revision, std::vector<EndpointRegistration> registrations)
    {
        directory_.replaceAll({ revision, std::move(registrations) }, std::nullopt);
    }

    std::string usable() const
    {
        std::string ids;
        for (const auto &known : directory_.entries()) {
            ids += known.isLeaving_ ? "" : known.id_.value();
        }
        return ids;
    }

    EndpointDirectory directory_;
};

BOOST_FIXTURE_TEST_CASE(an_entry_that_is_removed_at_a_lower_revision_is_gone, Restored)
{
    read({ 2, 50 }, { { entry("a"), { 2, 40 }, {} }, { entry("b"), { 2, 41 }, {} } });
    directory_.remove(EndpointId("b"), { 2, 51 }, std::nullopt);
    BOOST_TEST(usable() == "a");
}

BOOST_FIXTURE_TEST_CASE(an_endpoint_that_only_the_era_before_knew_is_gone, Restored)
{
    read({ 2, 50 }, { { entry("a"), { 2, 40 }, {} } });
    BOOST_TEST(usable() == "a");
}

BOOST_FIXTURE_TEST_CASE(an_endpoint_that_announced_its_leaving_in_the_lost_time_stays_leaving, Restored)
{
    auto leaving = entry("b");
    leaving.isLeaving_ = true;
    directory_.update(leaving, { 1, 101 });
    read({ 2, 50 }, { { entry("a"), { 2, 40 }, {} }, { entry("b"), { 2, 41 }, {} } });
    BOOST_TEST(usable() == "a");
}

BOOST_AUTO_TEST_SUITE(an_entry_that_was_removed_in_the_lost_time)

struct Removed : Restored {
    Removed()
    {
        directory_.remove(EndpointId("b"), { 1, 102 }, std::nullopt);
        directory_.readUpTo({ 1, 102 });
        read({ 2, 50 }, { { entry("a"), { 2, 40 }, {} }, { entry("b"), { 2, 41 }, {} } });
        directory_.expire(Now);
    }
};

BOOST_FIXTURE_TEST_CASE(stays_removed_though_the_copy_has_it, Removed)
{
    BOOST_TEST(usable() == "a");
    directory_.remove(EndpointId("b"), { 2, 60 }, std::nullopt);
    BOOST_TEST(!directory_.expire(Now + EndpointDirectory::RestoredEntryLifetime));
    BOOST_TEST(usable() == "a");
}

BOOST_FIXTURE_TEST_CASE(stays_removed_if_a_relay_lists_it, Removed)
{
    directory_.merge({ { 2, 55 }, { { entry("a"), { 2, 40 }, {} }, { entry("b"), { 2, 41 }, {} } } });
    BOOST_TEST(usable() == "a");
}

BOOST_FIXTURE_TEST_CASE(is_back_once_the_store_would_have_removed_it_again, Removed)
{
    // The endpoint is alive, and wrote its entry again before the store's counter had passed the removal.
    BOOST_TEST(!directory_.expire(Now + EndpointDirectory::RestoredEntryLifetime - 1ms));
    BOOST_TEST(directory_.expire(Now + EndpointDirectory::RestoredEntryLifetime));
    BOOST_TEST(usable() == "ab");
}

BOOST_FIXTURE_TEST_CASE(is_back_at_once_if_it_is_written_at_a_later_number, Removed)
{
    BOOST_TEST(directory_.update(entry("b"), { 2, 103 }));
    BOOST_TEST(usable() == "ab");
}

BOOST_FIXTURE_TEST_CASE(does_not_hold_back_the_next_incarnation, Removed)
{
    auto next = entry("b");
    next.incarnation_ = 1;
    BOOST_TEST(directory_.update(next, { 2, 60 }));
    BOOST_TEST(usable() == "ab");
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
