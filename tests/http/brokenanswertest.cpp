#include <boost/test/unit_test.hpp>

#include <csignal>

#include "answers/brokenanswers.h"
#include "core/errorcode.h"
#include "gateway/rawendpoint.h"
#include "http/httpcall.h"
#include "http/httpclient.h"
#include "http/httprequest.h"

using namespace cowsliphead;
using namespace std::chrono_literals;

namespace
{

constexpr auto CallTimeout = 30s;
constexpr auto BeforeTimeout = 10s;

const std::string Upload(brokenanswers::LongUpload, 'u');

/// What the caller of a client is told of an answer.
struct Outcome {
    int status_ = 0;
    std::string body_;
    std::error_code error_;
    std::chrono::nanoseconds duration_{ 0 };
};

Outcome call(const RawEndpoint::Script &answer, const std::string &body = {})
{
    // As in the program: a write to a closed connection must fail instead of terminating the process.
    std::signal(SIGPIPE, SIG_IGN);
    EventLoop loop;
    RawEndpoint server(loop, { answer });
    HttpClient client(loop, "127.0.0.1", server.port(), CallTimeout);
    Outcome outcome;
    HttpCallEvents events;
    events.onHead_ = [&](const HttpResponseHead &head) { outcome.status_ = head.status_; };
    events.onData_ = [&](std::string_view data) { outcome.body_.append(data); };
    events.onEnd_ = [&](const tl::expected<void, HttpCallFailure> &end) {
        outcome.error_ = end ? std::error_code() : end.error().code_;
        loop.stop();
    };
    const auto startedAt = std::chrono::steady_clock::now();
    const auto running = client.call({ HttpMethod::Post, "/", {}, {}, body }, std::move(events));
    loop.run();
    outcome.duration_ = std::chrono::steady_clock::now() - startedAt;
    return outcome;
}

void checkMalformed(const RawEndpoint::Script &answer)
{
    BOOST_TEST_CONTEXT(brokenanswers::describe(answer))
    {
        const auto outcome = call(answer);
        BOOST_TEST(outcome.error_ == ErrorCode::EndpointAnswerMalformed);
        BOOST_TEST(outcome.status_ == 0);
        BOOST_TEST(outcome.body_.empty());
        BOOST_TEST((outcome.duration_ < BeforeTimeout));
    }
}

} // namespace

// Guards against a server in trouble whose broken answer is taken as an answer.
BOOST_AUTO_TEST_SUITE(a_broken_answer)

BOOST_AUTO_TEST_SUITE(with_an_invalid_status)

BOOST_AUTO_TEST_CASE(is_malformed_and_its_head_is_not_passed_on)
{
    for (const auto &answer : brokenanswers::withInvalidStatus({}, "broken")) {
        checkMalformed(answer);
    }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(with_an_invalid_field_name)

BOOST_AUTO_TEST_CASE(is_malformed_and_its_head_is_not_passed_on)
{
    for (const auto &answer : brokenanswers::withInvalidFieldName({}, "broken")) {
        checkMalformed(answer);
    }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(with_an_invalid_line_in_its_head)

BOOST_AUTO_TEST_CASE(is_malformed_and_its_head_is_not_passed_on)
{
    for (const auto &answer : brokenanswers::withInvalidHeadLine({}, "broken")) {
        checkMalformed(answer);
    }
}

BOOST_AUTO_TEST_CASE(is_malformed_after_an_interim_answer_too)
{
    for (auto answer : brokenanswers::withInvalidHeadLine({}, "broken")) {
        answer.bytes_.insert(0, "HTTP/1.1 100 Continue\r\n\r\n");
        checkMalformed(answer);
    }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(cut_off_before_the_upload_is_written)

BOOST_AUTO_TEST_CASE(is_incomplete)
{
    const std::string undelimited = "HTTP/1.1 200 OK\r\n\r\npart";
    const std::string chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\npart\r\n";
    for (const auto &bytes : { undelimited, chunked }) {
        for (const auto &answer : brokenanswers::cutOff(bytes)) {
            BOOST_TEST_CONTEXT(brokenanswers::describe(answer))
            {
                const auto outcome = call(answer, Upload);
                BOOST_TEST(outcome.error_ == ErrorCode::EndpointLost);
                BOOST_TEST((outcome.duration_ < BeforeTimeout));
            }
        }
    }
}

// The client has nothing left to write, but the kernel still holds a part of the upload.
BOOST_AUTO_TEST_CASE(is_incomplete_while_the_kernel_sends_the_upload)
{
    const std::string upload(std::size_t{ 160 } << 10U, 'u');
    for (const std::string fields : { "", "Connection: close\r\n" }) {
        const RawEndpoint::Script answer{
            .bytes_ = "HTTP/1.1 200 OK\r\n" + fields + "\r\n", .laterBytes_ = "part", .pause_ = 100ms, .stopsReading_ = true, .shutsDownWriting_ = true
        };
        BOOST_TEST(call(answer, upload).error_ == ErrorCode::EndpointLost, fields);
    }
}

// The kernel reports the reset, which follows an orderly end, to a write only.
BOOST_AUTO_TEST_CASE(is_incomplete_if_the_reset_follows_an_orderly_end)
{
    const std::string upload(std::size_t{ 32 } << 10U, 'u');
    for (const std::string fields : { "", "Connection: close\r\n" }) {
        const RawEndpoint::Script answer{
            .bytes_ = "HTTP/1.1 200 OK\r\n" + fields + "\r\npart", .closesConnection_ = true, .stopsReading_ = true, .shutsDownWriting_ = true
        };
        BOOST_TEST(call(answer, upload).error_ == ErrorCode::EndpointLost, fields);
    }
}

BOOST_AUTO_TEST_CASE(is_complete_once_the_upload_is_written)
{
    const auto outcome = call({ .bytes_ = "HTTP/1.1 200 OK\r\n\r\nwhole", .closesConnection_ = true, .awaitedBytes_ = Upload.size() }, Upload);
    BOOST_TEST(!outcome.error_);
    BOOST_TEST(outcome.body_ == "whole");
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
