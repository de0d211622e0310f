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
    EndpointDirectory directory(2s);
    directory.written(entry("a"));
    directory.removed(EndpointId("a"), false, Now);
    BOOST_TEST(directory.entries().empty());
}

BOOST_AUTO_TEST_CASE(is_waited_for_after_the_store_was_away_and_then_gone)
{
    EndpointDirectory directory(2s);
    directory.written(entry("a"));
    directory.removed(EndpointId("a"), true, Now);
    BOOST_TEST(directory.entries().size() == 1U);
    BOOST_TEST(!directory.expire(Now + 1999ms));
    BOOST_TEST(directory.expire(Now + 2s));
    BOOST_TEST(directory.entries().empty());
}

BOOST_AUTO_TEST_CASE(stays_if_it_is_written_again_in_time)
{
    EndpointDirectory directory(2s);
    directory.written(entry("a"));
    directory.removed(EndpointId("a"), true, Now);
    directory.written(entry("a"));
    BOOST_TEST(!directory.expire(Now + 1h));
    BOOST_TEST(directory.entries().size() == 1U);
}

BOOST_AUTO_TEST_CASE(of_an_endpoint_that_said_it_leaves_is_gone_in_any_case)
{
    EndpointDirectory directory(2s);
    auto leaving = entry("a");
    leaving.isLeaving_ = true;
    directory.written(leaving);
    directory.removed(EndpointId("a"), true, Now);
    BOOST_TEST(directory.entries().empty());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_CASE(a_whole_reading_removes_what_it_lacks)
{
    EndpointDirectory directory(2s);
    directory.written(entry("a"));
    directory.replaced({ entry("b") }, false, Now);
    BOOST_REQUIRE(directory.entries().size() == 1U);
    BOOST_TEST(directory.entries().front().id_.value() == "b");
}

BOOST_AUTO_TEST_SUITE_END()
