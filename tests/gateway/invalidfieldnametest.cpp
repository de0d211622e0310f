#include <boost/test/unit_test.hpp>

#include "answers/brokenheads.h"
#include "gatewayfixture.h"

using namespace cowsliphead;
using namespace std::chrono_literals;

namespace
{

const std::string Fields = "X-Attempt-Id: ID\r\nX-Response-Stamp: s\r\n";
const std::string WholeAnswer = "HTTP/1.1 200 OK\r\n" + Fields + "Content-Length: 4\r\n\r\nbody";

/// The routes of the fixture limit a request to two seconds.
constexpr auto BeforeTimeout = 1500ms;

RawEndpoint::Script answer(const std::string &name)
{
    return { .bytes_ = brokenheads::withFieldName(name, Fields) + "broken" };
}

} // namespace

// Guards against an endpoint in trouble in whose answer a field name holds a byte that no name may hold: callers got the answer with that line,
// or with another body than the endpoint's, since the parser did not know the name of a field that frames the body.
BOOST_AUTO_TEST_SUITE(an_answer_with_an_invalid_field_name)

BOOST_AUTO_TEST_CASE(does_not_reach_the_caller)
{
    for (const auto &name : brokenheads::FieldNames) {
        for (const auto *path : { "/once/x", "/safe/x", "/stream/x" }) {
            BOOST_TEST_CONTEXT(path << ": " << name)
            {
                GatewayFixture fixture;
                fixture.addEndpoint({ answer(name) });
                const auto received = fixture.sendRequest(path);
                BOOST_TEST(received.status_ == 502);
                BOOST_TEST(headerValue(received.headers_, "Retry-After").empty());
                BOOST_TEST(received.isComplete_);
                BOOST_TEST((received.duration_ < BeforeTimeout));
            }
        }
    }
}

BOOST_AUTO_TEST_CASE(does_not_reach_the_caller_if_the_field_frames_the_body)
{
    const std::string head = "HTTP/1.1 200 OK\r\n" + Fields;
    for (const auto *rest : { "Content-Length : 4\r\n\r\nbodyrest", "Transfer-Encoding : chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n" }) {
        BOOST_TEST_CONTEXT(rest)
        {
            GatewayFixture fixture;
            fixture.addEndpoint({ { head + rest, true } });
            BOOST_TEST(fixture.sendRequest("/once/x").status_ == 502);
        }
    }
}

BOOST_AUTO_TEST_CASE(ends_its_attempt_before_the_rest_of_its_head)
{
    GatewayFixture fixture;
    fixture.addEndpoint({ { "HTTP/1.1 200 OK\r\nContent-Length : 4\r\n" } });
    const auto received = fixture.sendRequest("/once/x");
    BOOST_TEST(received.status_ == 502);
    BOOST_TEST((received.duration_ < BeforeTimeout));
}

BOOST_AUTO_TEST_CASE(is_followed_by_another_endpoint_if_the_request_may_be_repeated)
{
    for (const auto &name : brokenheads::FieldNames) {
        BOOST_TEST_CONTEXT(name)
        {
            GatewayFixture fixture;
            fixture.addEndpoint({ answer(name) });
            fixture.addEndpoint({ { WholeAnswer } });
            const auto received = fixture.sendRequest("/safe/x");
            BOOST_TEST(received.status_ == 200);
            BOOST_TEST(received.body_ == "body");
        }
    }
}

BOOST_AUTO_TEST_CASE(is_no_reason_to_run_the_request_elsewhere_unless_it_may_be_repeated)
{
    for (const auto &name : brokenheads::FieldNames) {
        BOOST_TEST_CONTEXT(name)
        {
            GatewayFixture fixture;
            fixture.addEndpoint({ answer(name) });
            auto &second = fixture.addEndpoint({ { WholeAnswer } });
            BOOST_TEST(fixture.sendRequest("/once/x").status_ == 502);
            BOOST_TEST(second.requests().empty());
        }
    }
}

BOOST_FIXTURE_TEST_SUITE(to_a_request_that_continues_a_stream, GatewayFixture)

BOOST_AUTO_TEST_CASE(breaks_the_stream_off)
{
    addEndpoint({ { "HTTP/1.1 200 OK\r\n" + Fields + "\r\nid: 1\ndata: a\n\nid: 2\ndat", true } });
    addEndpoint({ { "HTTP/1.1 200 OK\r\n" + Fields + "X Trouble: 1\r\n\r\nid: 2\ndata: b\n\n", true } });
    const auto received = sendRequest("/stream/x");
    BOOST_TEST(received.body_ == "id: 1\ndata: a\n\n");
    BOOST_TEST(!received.isComplete_);
    BOOST_TEST((received.duration_ < BeforeTimeout));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(from_an_engine_that_reads_a_prompt, GatewayFixture)

BOOST_AUTO_TEST_CASE(is_followed_by_a_run_without_its_cache)
{
    useAdaptiveServing();
    addEngine(EngineStage::Prefill, { { "HTTP/1.1 200 OK\r\n" + Fields + "X Trouble: 1\r\nContent-Length: 14\r\n\r\n{\"handle\":\"h\"}" } });
    auto &decode = addEngine(EngineStage::Decode, { { "HTTP/1.1 200 OK\r\n" + Fields + "Content-Length: 7\r\n\r\nid: 1\n\n" } });
    const auto received = sendRequest("/engine/x", { { "X-Api-Key", "key-1" }, { "X-Token-Count", "5000,10" } });
    BOOST_TEST(received.status_ == 200);
    BOOST_REQUIRE(decode.requests().size() == 1U);
    BOOST_TEST(decode.requests()[0].find(": h\r\n") == std::string::npos);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
