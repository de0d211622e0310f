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

} // namespace

BOOST_AUTO_TEST_SUITE(the_directory_of_endpoints)

BOOST_AUTO_TEST_SUITE(an_entry_that_is_removed)

BOOST_AUTO_TEST_CASE(is_gone_at_once_while_the_store_answers)
{
    EndpointDirectory directory;
    directory.written(entry("a"));
    directory.removed(EndpointId("a"), std::nullopt);
    BOOST_TEST(directory.entries().empty());
}

BOOST_AUTO_TEST_CASE(is_waited_for_after_the_store_was_away_and_then_gone)
{
    EndpointDirectory directory;
    directory.written(entry("a"));
    directory.removed(EndpointId("a"), Now + 2s);
    BOOST_TEST(directory.entries().size() == 1U);
    BOOST_TEST(!directory.expire(Now + 1999ms));
    BOOST_TEST(directory.expire(Now + 2s));
    BOOST_TEST(directory.entries().empty());
}

BOOST_AUTO_TEST_CASE(stays_if_it_is_written_again_in_time)
{
    EndpointDirectory directory;
    directory.written(entry("a"));
    directory.removed(EndpointId("a"), Now + 2s);
    directory.written(entry("a"));
    BOOST_TEST(!directory.expire(Now + 1h));
    BOOST_TEST(directory.entries().size() == 1U);
}

BOOST_AUTO_TEST_CASE(of_an_endpoint_that_said_it_leaves_is_gone_in_any_case)
{
    EndpointDirectory directory;
    auto leaving = entry("a");
    leaving.isLeaving_ = true;
    directory.written(leaving);
    directory.removed(EndpointId("a"), Now + 2s);
    BOOST_TEST(directory.entries().empty());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(a_late_write)

BOOST_AUTO_TEST_CASE(does_not_bring_back_an_endpoint_that_said_it_leaves)
{
    EndpointDirectory directory;
    auto leaving = entry("a");
    leaving.isLeaving_ = true;
    directory.written(leaving);
    directory.written(entry("a"));
    BOOST_TEST(directory.entries().front().isLeaving_);
    directory.removed(EndpointId("a"), std::nullopt);
    directory.written(entry("a"));
    BOOST_TEST(directory.entries().empty());
}

BOOST_AUTO_TEST_CASE(that_is_older_than_what_is_known_is_ignored)
{
    EndpointDirectory directory;
    auto newer = entry("a");
    newer.sequence_ = 5;
    newer.slots_ = 9;
    directory.written(newer);
    directory.written(entry("a"));
    BOOST_TEST(directory.entries().front().slots_ == 9U);
}

BOOST_AUTO_TEST_CASE(of_the_next_incarnation_counts)
{
    EndpointDirectory directory;
    auto leaving = entry("a");
    leaving.isLeaving_ = true;
    directory.written(leaving);
    auto next = entry("a");
    next.incarnation_ = 1;
    directory.written(next);
    BOOST_TEST(!directory.entries().front().isLeaving_);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_CASE(a_whole_reading_removes_what_it_lacks)
{
    EndpointDirectory directory;
    directory.written(entry("a"));
    directory.replaced({ entry("b") }, std::nullopt);
    BOOST_REQUIRE(directory.entries().size() == 1U);
    BOOST_TEST(directory.entries().front().id_.value() == "b");
}

BOOST_AUTO_TEST_SUITE_END()
