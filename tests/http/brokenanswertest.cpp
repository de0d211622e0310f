#include <boost/test/unit_test.hpp>

#include <csignal>

#include "answers/brokenheads.h"
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

} // namespace

// Guards against a server in trouble whose broken answer is taken as an answer.
BOOST_AUTO_TEST_SUITE(a_broken_answer)

BOOST_AUTO_TEST_SUITE(with_an_invalid_status)

BOOST_AUTO_TEST_CASE(is_malformed_and_its_head_is_not_passed_on)
{
    for (const auto &status : brokenheads::Statuses) {
        BOOST_TEST_CONTEXT(status)
        {
            const auto outcome = call({ brokenheads::withStatus(status) + "broken" });
            BOOST_TEST(outcome.error_ == ErrorCode::EndpointAnswerMalformed);
            BOOST_TEST(outcome.status_ == 0);
            BOOST_TEST(outcome.body_.empty());
            BOOST_TEST((outcome.duration_ < BeforeTimeout));
        }
    }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(with_an_invalid_field_name)

BOOST_AUTO_TEST_CASE(is_malformed_and_its_head_is_not_passed_on)
{
    for (const auto &name : brokenheads::FieldNames) {
        BOOST_TEST_CONTEXT(name)
        {
            const auto outcome = call({ brokenheads::withFieldName(name) + "broken" });
            BOOST_TEST(outcome.error_ == ErrorCode::EndpointAnswerMalformed);
            BOOST_TEST(outcome.status_ == 0);
            BOOST_TEST(outcome.body_.empty());
            BOOST_TEST((outcome.duration_ < BeforeTimeout));
        }
    }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
