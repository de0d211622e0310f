#include <boost/test/unit_test.hpp>

#include "gatewayfixture.h"

using namespace cowsliphead;

namespace
{

const std::string StreamHead = "HTTP/1.1 200 OK\r\nX-Attempt-Id: ID\r\nX-Response-Stamp: s\r\nContent-Type: text/event-stream\r\n";

/// An endpoint that sends this stream in one piece.
RawEndpoint::Script whole(const std::string &stream)
{
    return { .bytes_ = StreamHead + "Content-Length: " + std::to_string(stream.size()) + "\r\n\r\n" + stream };
}

/// An endpoint that sends these two parts of a stream with a pause between them.
RawEndpoint::Script inTwoParts(const std::string &first, const std::string &second)
{
    return { .bytes_ = StreamHead + "Content-Length: " + std::to_string(first.size() + second.size()) + "\r\n\r\n" + first,
             .laterBytes_ = second,
             .pause_ = std::chrono::milliseconds(20) };
}

/// Streams whose events have unusual text or unusual line ends. The last event of each has the identifier 3.
const std::vector<std::string> Streams{
    "id: 1\ndata: a\n\nid: 2\ndata: [DONE]\n\nid: 3\ndata: c\n\n",
    "id: 1\ndata:[DONE]\n\nid: 2\ndata:[DONE]\r\n\r\nid: 3\ndata: [DONE]\n\n",
    "id: 1\nevent: x\ndata: [DONE]\ndata: more\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n",
    ": comment\n\nid: 1\ndata: a\n\n: [DONE]\n\nid: 2\ndata\n\nid: 3\ndata:\n\n",
    "id: 1\r\ndata: a\r\n\r\nid: 2\r\ndata: [DONE]\r\n\r\nid: 3\r\ndata: c\r\n\r\n",
    "id: 1\rdata: a\r\rid: 2\rdata: [DONE]\r\rid: 3\rdata: c\r\r",
    "\xEF\xBB\xBFid: 1\ndata: a\n\n\n\nretry: 10\n\nid: 2\ndata: id: 9\n\nid: 3\n: id: 8\ndata: c\n\n",
};

} // namespace

// Guards against a text within an event that is taken for the end of the stream ("[DONE]" ends streams of the product's own interface only),
// and against line ends that are not recognized: callers lost the rest of the stream, or the whole answer.
BOOST_AUTO_TEST_SUITE(a_stream_with_any_text)

BOOST_AUTO_TEST_CASE(is_forwarded_byte_for_byte)
{
    for (const auto &stream : Streams) {
        BOOST_TEST_CONTEXT(stream)
        {
            GatewayFixture fixture;
            fixture.addEndpoint({ whole(stream) });
            const auto answer = fixture.sendRequest("/stream/x");
            BOOST_TEST(answer.status_ == 200);
            BOOST_TEST(answer.body_ == stream);
            BOOST_TEST(answer.isComplete_);
        }
    }
}

BOOST_AUTO_TEST_SUITE(that_arrives_in_two_parts)

BOOST_AUTO_TEST_CASE(is_forwarded_byte_for_byte)
{
    for (const auto &stream : Streams) {
        for (std::size_t size = 1; size < stream.size(); size += 3) {
            BOOST_TEST_CONTEXT(stream << " after " << size)
            {
                GatewayFixture fixture;
                fixture.addEndpoint({ inTwoParts(stream.substr(0, size), stream.substr(size)) });
                const auto answer = fixture.sendRequest("/stream/x");
                BOOST_TEST(answer.body_ == stream);
                BOOST_TEST(answer.isComplete_);
            }
        }
    }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(whose_connection_ends_within_an_event)

BOOST_AUTO_TEST_CASE(is_resumed_elsewhere_after_the_last_whole_event)
{
    for (const auto &stream : Streams) {
        BOOST_TEST_CONTEXT(stream)
        {
            GatewayFixture fixture;
            auto brokenOff = StreamHead;
            brokenOff.append("\r\n").append(stream).append("id: 4\nda");
            fixture.addEndpoint({ { .bytes_ = brokenOff, .closesConnection_ = true } });
            auto &second = fixture.addEndpoint({ whole("id: 4\ndata: d\n\n") });
            const auto answer = fixture.sendRequest("/stream/x");
            BOOST_TEST(answer.body_ == stream + "id: 4\ndata: d\n\n");
            BOOST_TEST(answer.isComplete_);
            BOOST_REQUIRE(second.requests().size() == 1U);
            BOOST_TEST(second.requests()[0].find("Last-Event-Id: 3\r\n") != std::string::npos);
        }
    }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
