#include <boost/test/unit_test.hpp>

#include "gatewayfixture.h"

using namespace cowsliphead;

namespace
{

const std::string Head = "HTTP/1.1 200 OK\r\nX-Attempt-Id: ID\r\nX-Response-Stamp: s\r\n\r\n";

RawEndpoint::Script endsWithConnection(const std::string &body)
{
    return { .bytes_ = Head + body, .closesConnection_ = true };
}

RawEndpoint::Script isReset(const std::string &body)
{
    return { .bytes_ = Head + body, .resetsConnection_ = true };
}

RawEndpoint::Script whole(const std::string &body)
{
    return { .bytes_ = "HTTP/1.1 200 OK\r\nX-Attempt-Id: ID\r\nX-Response-Stamp: s\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body };
}

} // namespace

// An endpoint may send neither a length nor chunks and end its answer with the connection.
BOOST_FIXTURE_TEST_SUITE(an_answer_with_neither_length_nor_chunks, GatewayFixture)

BOOST_AUTO_TEST_CASE(is_whole_when_the_connection_ends_in_order)
{
    addEndpoint({ endsWithConnection("body") });
    const auto answer = sendRequest("/once/x");
    BOOST_TEST(answer.status_ == 200);
    BOOST_TEST(answer.body_ == "body");
    BOOST_TEST(answer.isComplete_);
}

BOOST_AUTO_TEST_CASE(is_not_passed_on_when_the_connection_is_reset)
{
    addEndpoint({ isReset("bo") });
    BOOST_TEST(sendRequest("/once/x").status_ == 502);
}

BOOST_AUTO_TEST_CASE(is_fetched_elsewhere_when_the_connection_is_reset_and_the_request_may_be_repeated)
{
    addEndpoint({ isReset("bo") });
    addEndpoint({ whole("body") });
    const auto answer = sendRequest("/safe/x");
    BOOST_TEST(answer.status_ == 200);
    BOOST_TEST(answer.body_ == "body");
}

BOOST_AUTO_TEST_SUITE(that_is_a_stream)

BOOST_AUTO_TEST_CASE(is_whole_when_it_ends_after_an_event)
{
    addEndpoint({ endsWithConnection("id: 1\ndata: a\n\nid: 2\ndata: b\n\n") });
    const auto answer = sendRequest("/stream/x");
    BOOST_TEST(answer.status_ == 200);
    BOOST_TEST(answer.body_ == "id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
    BOOST_TEST(answer.isComplete_);
}

BOOST_AUTO_TEST_CASE(is_broken_off_when_it_ends_inside_an_event)
{
    addEndpoint({ endsWithConnection("id: 1\ndata: a\n\nid: 2\ndat") });
    const auto answer = sendRequest("/stream/x");
    BOOST_TEST(answer.body_ == "id: 1\ndata: a\n\n");
    BOOST_TEST(!answer.isComplete_);
}

BOOST_AUTO_TEST_CASE(is_resumed_after_the_last_whole_event_when_it_ends_inside_one)
{
    auto &first = addEndpoint({ endsWithConnection("id: 1\ndata: a\n\nid: 2\ndat") });
    auto &second = addEndpoint({ endsWithConnection("id: 2\ndata: b\n\n") });
    const auto answer = sendRequest("/stream/x");
    BOOST_TEST(answer.body_ == "id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
    BOOST_TEST(answer.isComplete_);
    BOOST_TEST(first.requests().size() == 1U);
    BOOST_REQUIRE(second.requests().size() == 1U);
    BOOST_TEST(second.requests()[0].find("Last-Event-Id: 1") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(is_broken_off_when_the_connection_is_reset_after_an_event)
{
    addEndpoint({ isReset("id: 1\ndata: a\n\n") });
    BOOST_TEST(!sendRequest("/stream/x").isComplete_);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
