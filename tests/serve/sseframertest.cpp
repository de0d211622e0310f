#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

#include "serve/endswithdoneevent.h"
#include "serve/sseframer.h"

using namespace cowsliphead;

namespace
{

const std::string Stream = "data: {\"a\":1}\n\n: comment\n\ndata: {\"b\":2}\r\n\r\nevent: x\ndata: {\"c\":3}\n\ndata: [DONE]\n\n";

} // namespace

BOOST_AUTO_TEST_SUITE(a_stream_of_events)

BOOST_AUTO_TEST_SUITE(that_arrives_in_pieces_of_any_size)

RC_BOOST_PROP(is_emitted_in_complete_events, (const std::vector<std::uint8_t> &cuts))
{
    SseFramer<EndsWithDoneEvent> framer;
    std::string emitted;
    std::size_t at = 0;
    for (const auto cut : cuts) {
        const auto piece = Stream.substr(std::min(at, Stream.size()), cut % 16);
        at += piece.size();
        const auto events = framer.add(piece);
        RC_ASSERT(events.empty() || events.ends_with("\n\n") || events.ends_with("\r\n\r\n"));
        emitted += events;
    }
    RC_ASSERT(Stream.starts_with(emitted));
    emitted += framer.add(Stream.substr(std::min(at, Stream.size())));
    RC_ASSERT(emitted == Stream);
    RC_ASSERT(framer.eventCount() == 3U);
    RC_ASSERT(framer.hasEnded());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(that_ends_within_an_event)

BOOST_AUTO_TEST_CASE(discards_that_event_and_counts_the_others)
{
    SseFramer<EndsWithDoneEvent> framer;
    BOOST_TEST(framer.add("data: 1\n\ndata: 2\n") == "data: 1\n\n");
    framer.discardPartialEvent();
    BOOST_TEST(framer.add("data: 2\n\n") == "data: 2\n\n");
    BOOST_TEST(framer.eventCount() == 2U);
    BOOST_TEST(!framer.hasEnded());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(that_continues_after_its_terminating_event)

BOOST_AUTO_TEST_CASE(is_truncated_there)
{
    SseFramer<EndsWithDoneEvent> framer;
    BOOST_TEST(framer.add("data: [DONE]\n\ndata: surplus\n\n") == "data: [DONE]\n\n");
    BOOST_TEST(framer.add("data: surplus\n\n").empty());
    BOOST_TEST(framer.eventCount() == 0U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
