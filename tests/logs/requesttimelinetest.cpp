#include <boost/test/unit_test.hpp>

#include "logs/requesttimeline.h"

using namespace cowsliphead;

namespace
{

RequestTimeline timelineOf(std::initializer_list<const char *> lines)
{
    RequestTimeline timeline("r1");
    for (const auto *line : lines) {
        timeline.add(line);
    }
    return timeline;
}

} // namespace

BOOST_AUTO_TEST_SUITE(the_timeline_of_a_request)

BOOST_AUTO_TEST_CASE(joins_the_lines_of_several_processes_in_order)
{
    const auto text = timelineOf({ R"(4.1 b {"timeUs":3000000,"name":"request_ended","instance":"b","request":"r1","status":200})",
                                   R"({"timeUs":1000000,"name":"dispatch_ended","instance":"a","request":"r1","end":"lost"})",
                                   R"({"timeUs":1500000,"name":"dispatch_ended","instance":"a","request":"r2","end":"lost"})" })
                          .toText();
    BOOST_TEST(text == "request r1\n   +0.000 s  a dispatch_ended end=lost\n   +2.000 s  b request_ended status=200\n");
}

BOOST_AUTO_TEST_CASE(shows_state_changes_of_its_process_around_it)
{
    const auto text = timelineOf({ R"({"timeUs":1000000,"name":"store_lost","instance":"a"})",
                                   R"({"timeUs":1000000,"name":"store_lost","instance":"b"})",
                                   R"({"timeUs":2000000,"name":"request_ended","instance":"a","request":"r1","status":503})" })
                          .toText();
    BOOST_TEST(text.find("a store_lost") != std::string::npos);
    BOOST_TEST(text.find("b store_lost") == std::string::npos);
}

BOOST_AUTO_TEST_CASE(joins_the_submissions_of_a_request_by_their_digest)
{
    const auto text = timelineOf({ R"({"timeUs":1000000,"name":"dispatch_ended","instance":"a","request":"x","digest":"r1"})",
                                   R"({"timeUs":2000000,"name":"dispatch_ended","instance":"b","request":"y","digest":"r1"})",
                                   R"({"timeUs":3000000,"name":"dispatch_ended","instance":"b","request":"z","digest":"r2"})" })
                          .toText();
    BOOST_TEST(text.find("a dispatch_ended request=x\n") != std::string::npos);
    BOOST_TEST(text.find("b dispatch_ended request=y\n") != std::string::npos);
    BOOST_TEST(text.find("request=z") == std::string::npos);
}

BOOST_AUTO_TEST_SUITE(with_lines_missing)

BOOST_AUTO_TEST_CASE(says_that_the_end_is_missing)
{
    const auto text = timelineOf({ R"({"timeUs":1,"name":"dispatch_ended","instance":"a","request":"r1"})" }).toText();
    BOOST_TEST(text.find("the end is missing") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(says_that_no_line_names_it)
{
    const auto timeline = timelineOf({ "no json", "{broken", R"({"timeUs":1,"name":"store_lost"})" });
    BOOST_TEST(!timeline.isKnown());
    BOOST_TEST(timeline.toText().find("no line names request r1") == 0U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
