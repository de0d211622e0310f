#include <boost/test/unit_test.hpp>

#include "gateway/eventidtracker.h"

using namespace cowsliphead;

BOOST_AUTO_TEST_SUITE(the_last_event_id_of_a_stream)

BOOST_AUTO_TEST_CASE(is_the_one_of_the_last_whole_event)
{
    EventIdTracker tracker;
    tracker.addEvents("id: 1\ndata: a\n\nid:2\r\ndata: b\r\n\r\n");
    BOOST_TEST(tracker.lastId() == "2");
}

BOOST_AUTO_TEST_CASE(is_kept_over_events_without_one)
{
    EventIdTracker tracker;
    tracker.addEvents("id: 7\ndata: a\n\n");
    tracker.addEvents("data: b\n\n");
    BOOST_TEST(tracker.lastId() == "7");
}

BOOST_AUTO_TEST_SUITE_END()
