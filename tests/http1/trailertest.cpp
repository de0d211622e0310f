#include <boost/test/unit_test.hpp>

#include <string>
#include <vector>

#include "http1/requestparser.h"
#include "http1/responseparser.h"

using namespace cowsliphead;

namespace
{

/// The parsed heads of consecutive messages. The bytes are handed over in fragments of this size.
template <typename Parser, typename Head, typename Events>
std::vector<Head> headsOf(const std::string &bytes, std::size_t fragmentSize, Events events)
{
    std::vector<Head> heads;
    events.onHead_ = [&heads](Head head) {
        heads.push_back(std::move(head));
        return true;
    };
    events.onBody_ = [](std::string_view /*data*/) { return true; };
    Parser parser(std::move(events));
    for (std::size_t at = 0; at < bytes.size();) {
        std::size_t consumed = 0;
        const auto outcome = parser.parse(std::string_view(bytes).substr(at, fragmentSize), consumed);
        BOOST_REQUIRE((outcome == ParseOutcome::NeedsMore || outcome == ParseOutcome::Complete));
        BOOST_REQUIRE(consumed > 0U);
        at += consumed;
    }
    return heads;
}

std::vector<RequestHead> requestHeads(const std::string &bytes, std::size_t fragmentSize)
{
    RequestParserEvents events;
    events.onComplete_ = [] { return true; };
    return headsOf<RequestParser, RequestHead>(bytes, fragmentSize, std::move(events));
}

std::vector<ResponseHead> responseHeads(const std::string &bytes, std::size_t fragmentSize)
{
    return headsOf<ResponseParser, ResponseHead>(bytes, fragmentSize, ResponseParserEvents());
}

const std::string ChunkedBody = "Transfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\n";
const std::string Trailer = "Host: other\r\nX-Api-Key: other\r\nX-Token-Count: 9,9\r\nContent-Length: 7\r\nX-Not-Executed: 1\r\n\r\n";

} // namespace

// Guards against fields of a trailer section that become header fields of the next message on the connection: requests ran with the token count
// of the one before, and could have run with its account.
BOOST_AUTO_TEST_SUITE(the_fields_of_a_trailer_section)

BOOST_AUTO_TEST_CASE(do_not_reach_the_next_request)
{
    const std::string first = "POST /1 HTTP/1.1\r\nHost: h\r\n" + ChunkedBody + Trailer;
    const std::string second = "POST /2 HTTP/1.1\r\nHost: h\r\nX-Token-Count: 1,2\r\nContent-Length: 0\r\n\r\n";
    for (std::size_t size = 1; size <= first.size() + second.size(); ++size) {
        const auto heads = requestHeads(first + second, size);
        BOOST_REQUIRE(heads.size() == 2U);
        BOOST_TEST(heads[0].headers_.size() == 2U);
        const HttpHeaders expected{ { "Host", "h" }, { "X-Token-Count", "1,2" }, { "Content-Length", "0" } };
        BOOST_TEST((heads[1].headers_ == expected));
        BOOST_TEST(heads[1].target_ == "/2");
    }
}

BOOST_AUTO_TEST_CASE(do_not_reach_the_next_answer)
{
    const std::string first = "HTTP/1.1 200 OK\r\nX-Attempt-Id: 1\r\n" + ChunkedBody + Trailer;
    const std::string second = "HTTP/1.1 404 No\r\nX-Attempt-Id: 2\r\nContent-Length: 0\r\n\r\n";
    for (std::size_t size = 1; size <= first.size() + second.size(); ++size) {
        const auto heads = responseHeads(first + second, size);
        BOOST_REQUIRE(heads.size() == 2U);
        BOOST_TEST(heads[0].headers_.size() == 2U);
        const HttpHeaders expected{ { "X-Attempt-Id", "2" }, { "Content-Length", "0" } };
        BOOST_TEST((heads[1].headers_ == expected));
        BOOST_TEST(heads[1].status_ == 404);
    }
}

BOOST_AUTO_TEST_CASE(do_not_reach_a_request_that_follows_two_of_them)
{
    const std::string first = "POST /1 HTTP/1.1\r\nHost: h\r\n" + ChunkedBody + Trailer;
    const auto heads = requestHeads(first + first + "GET /2 HTTP/1.1\r\nHost: h\r\n\r\n", 16);
    BOOST_REQUIRE(heads.size() == 3U);
    BOOST_TEST(heads[1].headers_.size() == 2U);
    BOOST_TEST(heads[2].headers_.size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
