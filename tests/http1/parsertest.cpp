#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

#include <cctype>
#include <string>

#include "http1/requestparser.h"
#include "http1/responseparser.h"

using namespace cowsliphead;

namespace
{

/// Parses a response and keeps its head and body.
struct ParsedResponse {
    ResponseParser parser_{ {
        .onHead_ =
            [this](ResponseHead head) {
                head_ = std::move(head);
                return true;
            },
        .onBody_ =
            [this](std::string_view data) {
                body_.append(data);
                return true;
            },
    } };
    ResponseHead head_;
    std::string body_;
    std::size_t consumed_ = 0;

    ParseOutcome parse(std::string_view bytes)
    {
        return parser_.parse(bytes, consumed_);
    }
};

/// Parses a request and keeps its head and body.
struct ParsedRequest {
    RequestParser parser_{ {
        .onHead_ =
            [this](RequestHead head) {
                head_ = std::move(head);
                return true;
            },
        .onBody_ =
            [this](std::string_view data) {
                body_.append(data);
                return true;
            },
        .onComplete_ = [] { return true; },
    } };
    RequestHead head_;
    std::string body_;
    std::size_t consumed_ = 0;

    ParseOutcome parse(std::string_view bytes)
    {
        return parser_.parse(bytes, consumed_);
    }
};

} // namespace

BOOST_AUTO_TEST_SUITE(the_parsers_of_a_connection)

BOOST_AUTO_TEST_SUITE(a_response)

BOOST_AUTO_TEST_CASE(with_a_length_does_not_consume_the_bytes_after_it)
{
    ParsedResponse response;
    const std::string first = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi";
    BOOST_TEST((response.parse(first + "HTTP/1.1 500 E\r\n") == ParseOutcome::Complete));
    BOOST_TEST(response.consumed_ == first.size());
    BOOST_TEST(response.body_ == "hi");
    BOOST_TEST(response.parser_.keepsAlive());
}

BOOST_AUTO_TEST_CASE(in_chunks_is_complete_only_after_the_last_one)
{
    ParsedResponse response;
    BOOST_TEST((response.parse("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n") == ParseOutcome::NeedsMore));
    BOOST_TEST((response.parser_.finish() == ParseOutcome::Malformed));
    ParsedResponse complete;
    BOOST_TEST((complete.parse("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\n") == ParseOutcome::Complete));
    BOOST_TEST(!complete.head_.contentLength_.has_value());
}

BOOST_AUTO_TEST_CASE(without_a_length_ends_with_the_connection)
{
    ParsedResponse response;
    BOOST_TEST((response.parse("HTTP/1.1 200 OK\r\n\r\nhel") == ParseOutcome::NeedsMore));
    BOOST_TEST((response.parser_.finish() == ParseOutcome::Complete));
    BOOST_TEST(response.body_ == "hel");
}

BOOST_AUTO_TEST_CASE(that_is_not_http_is_malformed)
{
    ParsedResponse response;
    BOOST_TEST((response.parse("\x01\x02rubbish") == ParseOutcome::Malformed));
}

BOOST_AUTO_TEST_CASE(is_malformed_exactly_if_its_status_is_outside_100_to_599)
{
    for (int status = 0; status < 1000; ++status) {
        auto digits = std::to_string(status);
        digits.insert(0, 3 - digits.size(), '0');
        ParsedResponse response;
        const bool isMalformed = response.parse("HTTP/1.1 " + digits + " Any\r\nContent-Length: 0\r\n\r\n") == ParseOutcome::Malformed;
        BOOST_TEST(isMalformed == (status < 100 || status > 599), status);
    }
}

BOOST_AUTO_TEST_CASE(is_malformed_exactly_if_a_byte_of_a_field_name_may_not_stand_there)
{
    for (int byte = 0; byte < 256; ++byte) {
        const char character = static_cast<char>(byte);
        // A colon ends the name.
        const bool isAllowed = byte < 128 && (std::isalnum(byte) != 0 || std::string("!#$%&'*+-.^_`|~:").find(character) != std::string::npos);
        for (std::size_t place = 0; place < 3; ++place) {
            std::string name = "Ab";
            name.insert(place, 1, character);
            ParsedResponse response;
            const bool isMalformed = response.parse("HTTP/1.1 200 OK\r\n" + name + ": v\r\nContent-Length: 0\r\n\r\n") == ParseOutcome::Malformed;
            const bool isNameEmpty = character == ':' && place == 0;
            BOOST_TEST(isMalformed == (!isAllowed || isNameEmpty), "byte " << byte << " at " << place);
        }
    }
}

BOOST_AUTO_TEST_CASE(is_malformed_if_a_line_of_its_head_begins_or_ends_otherwise_than_the_first_however_it_is_split)
{
    for (const std::string bytes : { "HTTP/1.1 200 OK\r\nX-A: 1\r\n X-B: 2\r\n\r\n",
                                     "HTTP/1.1 200 OK\r\nX-A: 1\r\n\tX-B: 2\r\n\r\n",
                                     "HTTP/1.1 200 OK\r\nX-A: 1\r\n\rX-B: 2\r\n\r\n",
                                     "HTTP/1.1 200 OK\r\nX-A: 1\r\n\nX-B: 2\r\n\r\n",
                                     "HTTP/1.1 200 O\rK\r\nX-A: 1\r\n\r\n",
                                     "HTTP/1.1 200 OK\nX-A: 1\n\r\n" }) {
        for (std::size_t size = 1; size <= bytes.size(); ++size) {
            ParsedResponse response;
            auto outcome = ParseOutcome::NeedsMore;
            for (std::size_t at = 0; at < bytes.size() && outcome == ParseOutcome::NeedsMore; at += size) {
                outcome = response.parse(std::string_view(bytes).substr(at, size));
            }
            BOOST_TEST((outcome == ParseOutcome::Malformed), bytes << " in parts of " << size);
        }
    }
}

// Regression test: any version, and a status of any number of digits, was taken for an answer.
BOOST_AUTO_TEST_CASE(is_malformed_unless_its_first_line_is_one_of_http_1_0_or_1_1_with_a_status_of_three_digits)
{
    for (const auto *line : { "HTTP/2.7 200 OK",
                              "HTTP/1.2 200 OK",
                              "HTTP/1.10 200 OK",
                              "HTTP/11.1 200 OK",
                              "HTTP/0.9 200 OK",
                              "http/1.1 200 OK",
                              "HTTP/1.1 0200 OK",
                              "HTTP/1.1 2000 OK",
                              "HTTP/1.1 20 OK",
                              "HTTP/1.1 200x",
                              "HTTP/1.1  200 OK",
                              "HTTP/1.1 200\tOK",
                              "HTTP/1.1 2 0 OK",
                              "HTTP/1.1",
                              "HTTP/1.1 " }) {
        ParsedResponse response;
        BOOST_TEST((response.parse(std::string(line) + "\r\nContent-Length: 0\r\n\r\n") == ParseOutcome::Malformed), line);
    }
    for (const auto *line : { "HTTP/1.0 200 OK", "HTTP/1.1 200", "HTTP/1.1 200 ", "HTTP/1.1 200 Any \x80 reason\t(1)" }) {
        ParsedResponse response;
        BOOST_TEST((response.parse(std::string(line) + "\r\nContent-Length: 0\r\n\r\n") == ParseOutcome::Complete), line);
    }
}

// Regression test: control characters of a reason reached callers.
BOOST_AUTO_TEST_CASE(is_malformed_exactly_if_its_reason_or_a_value_holds_a_control_character)
{
    for (int byte = 0; byte < 256; ++byte) {
        // These end lines.
        if (byte == '\r' || byte == '\n') {
            continue;
        }
        const bool isAllowed = byte == '\t' || (byte >= 0x20 && byte != 0x7F);
        const std::string text = "a" + std::string(1, static_cast<char>(byte)) + "b";
        for (const auto &head : { "HTTP/1.1 200 " + text + "\r\n", "HTTP/1.1 200 OK\r\nName: " + text + "\r\n" }) {
            ParsedResponse response;
            const bool isMalformed = response.parse(head + "Content-Length: 0\r\n\r\n") == ParseOutcome::Malformed;
            BOOST_TEST(isMalformed == !isAllowed, "byte " << byte);
        }
    }
}

BOOST_AUTO_TEST_CASE(may_end_each_line_with_a_line_feed_alone)
{
    ParsedResponse response;
    BOOST_TEST((response.parse("HTTP/1.1 200 OK\nContent-Length: 2\n\nhi") == ParseOutcome::Complete));
    BOOST_TEST(response.body_ == "hi");
}

BOOST_AUTO_TEST_CASE(may_hold_any_line_in_its_body_and_follow_empty_lines)
{
    ParsedResponse response;
    BOOST_TEST((response.parse("\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 8\r\n\r\n\r \n\n a\rb") == ParseOutcome::Complete));
    BOOST_TEST(response.body_ == "\r \n\n a\rb");
}

BOOST_AUTO_TEST_CASE(is_malformed_as_soon_as_its_field_name_is_read)
{
    ParsedResponse response;
    BOOST_TEST((response.parse("HTTP/1.1 200 OK\r\nContent-Length ") == ParseOutcome::Malformed));
}

RC_BOOST_PROP(parses_the_same_however_it_is_split, (const std::vector<std::uint8_t> &fragmentSizes))
{
    const std::string bytes = "HTTP/1.1 200 OK\r\nX-A: 1\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n1\r\n!\r\n0\r\n\r\n";
    ParsedResponse response;
    std::size_t offset = 0;
    auto outcome = ParseOutcome::NeedsMore;
    for (std::size_t index = 0; offset < bytes.size(); ++index) {
        const std::size_t size = index < fragmentSizes.size() ? fragmentSizes[index] % 7 + 1 : bytes.size();
        const auto fragment = std::string_view(bytes).substr(offset, size);
        outcome = response.parse(fragment);
        offset += fragment.size();
    }
    RC_ASSERT(outcome == ParseOutcome::Complete);
    RC_ASSERT(response.body_ == "hello!");
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(a_request)

BOOST_AUTO_TEST_CASE(keeps_target_and_fields_as_sent)
{
    ParsedRequest request;
    const std::string bytes = "POST /a/b?x=1 HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabc";
    BOOST_TEST((request.parse(bytes) == ParseOutcome::Complete));
    BOOST_TEST(request.head_.method_ == "POST");
    BOOST_TEST(request.head_.target_ == "/a/b?x=1");
    BOOST_TEST(request.body_ == "abc");
}

// Regression test: blanks in field names were accepted, so that a request could have fields that other readers know by another name.
BOOST_AUTO_TEST_CASE(with_a_byte_in_a_field_name_that_may_not_stand_there_is_malformed)
{
    for (const auto *line :
         { "Content-Length : 3", "Content Length: 3", " Content-Length: 3", "Content-Length\t: 3", "Con(tent: 3", "Con\x01tent: 3", "Con\x80tent: 3" }) {
        ParsedRequest request;
        BOOST_TEST((request.parse("POST / HTTP/1.1\r\nHost: h\r\n" + std::string(line) + "\r\n\r\nabc") == ParseOutcome::Malformed), line);
    }
}

BOOST_AUTO_TEST_CASE(with_a_folded_line_or_a_control_character_in_its_head_is_malformed)
{
    for (const auto *lines : { "Other: a\r\n b", "Other: a\r\n\tb", "Other: a\x01z", "Other: a\rb", "Other: a\nMore: b" }) {
        ParsedRequest request;
        BOOST_TEST((request.parse("GET / HTTP/1.1\r\nHost: h\r\n" + std::string(lines) + "\r\n\r\n") == ParseOutcome::Malformed), lines);
    }
}

BOOST_AUTO_TEST_CASE(may_hold_any_byte_in_its_body_and_be_followed_by_another)
{
    ParsedRequest request;
    const std::string first = "POST /1 HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\n \x01\r\r";
    const std::string second = "POST /2 HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\n\n\n";
    BOOST_TEST((request.parse(first + second) == ParseOutcome::Complete));
    BOOST_TEST(request.consumed_ == first.size());
    BOOST_TEST((request.parse(second) == ParseOutcome::Complete));
    BOOST_TEST(request.head_.target_ == "/2");
}

BOOST_AUTO_TEST_CASE(with_a_length_and_chunks_is_malformed)
{
    ParsedRequest request;
    BOOST_TEST((request.parse("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n") == ParseOutcome::Malformed));
}

BOOST_AUTO_TEST_CASE(with_two_lengths_is_malformed)
{
    ParsedRequest request;
    BOOST_TEST((request.parse("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\n") == ParseOutcome::Malformed));
}

BOOST_AUTO_TEST_CASE(with_an_unknown_transfer_encoding_is_malformed)
{
    ParsedRequest request;
    BOOST_TEST((request.parse("POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: xchunked\r\n\r\n") == ParseOutcome::Malformed));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
