#include <boost/test/unit_test.hpp>

#include "gateway/eventposition.h"

using namespace cowsliphead;

BOOST_AUTO_TEST_SUITE(the_position_in_a_stream)

BOOST_AUTO_TEST_CASE(is_the_identifier_of_the_last_whole_event)
{
    EventPosition position;
    position.passed("id: 1\ndata: a\n\nid:2\r\ndata: b\r\n\r\n");
    BOOST_TEST(position.lastId() == "2");
}

BOOST_AUTO_TEST_CASE(is_kept_over_events_without_one)
{
    EventPosition position;
    position.passed("id: 7\ndata: a\n\n");
    position.passed("data: b\n\n");
    BOOST_TEST(position.lastId() == "7");
}

BOOST_AUTO_TEST_SUITE_END()
