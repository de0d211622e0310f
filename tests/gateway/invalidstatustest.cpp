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

RawEndpoint::Script answer(const std::string &status)
{
    return { .bytes_ = brokenheads::withStatus(status, Fields) + "broken" };
}

} // namespace

// Guards against an endpoint in trouble whose answer has a status outside 100 to 599: callers got it as an answer, or waited for the time-out of
// their request, since a status below 200 was taken as that of an interim response.
BOOST_AUTO_TEST_SUITE(an_answer_with_an_invalid_status)

BOOST_AUTO_TEST_CASE(does_not_reach_the_caller)
{
    for (const auto &status : brokenheads::Statuses) {
        for (const auto *path : { "/once/x", "/safe/x", "/stream/x" }) {
            BOOST_TEST_CONTEXT(path << ": " << status)
            {
                GatewayFixture fixture;
                fixture.addEndpoint({ answer(status) });
                const auto received = fixture.sendRequest(path);
                BOOST_TEST(received.status_ == 502);
                BOOST_TEST(headerValue(received.headers_, "Retry-After").empty());
                BOOST_TEST(received.isComplete_);
                BOOST_TEST((received.duration_ < BeforeTimeout));
            }
        }
    }
}

BOOST_AUTO_TEST_CASE(is_followed_by_another_endpoint_if_the_request_may_be_repeated)
{
    for (const auto &status : brokenheads::Statuses) {
        BOOST_TEST_CONTEXT(status)
        {
            GatewayFixture fixture;
            fixture.addEndpoint({ answer(status) });
            fixture.addEndpoint({ { WholeAnswer } });
            const auto received = fixture.sendRequest("/safe/x");
            BOOST_TEST(received.status_ == 200);
            BOOST_TEST(received.body_ == "body");
            BOOST_TEST((received.duration_ < BeforeTimeout));
        }
    }
}

BOOST_AUTO_TEST_CASE(is_no_reason_to_run_the_request_elsewhere_unless_it_may_be_repeated)
{
    for (const auto &status : brokenheads::Statuses) {
        BOOST_TEST_CONTEXT(status)
        {
            GatewayFixture fixture;
            fixture.addEndpoint({ answer(status) });
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
    addEndpoint({ answer("000") });
    const auto received = sendRequest("/stream/x");
    BOOST_TEST(received.status_ == 200);
    BOOST_TEST(received.body_ == "id: 1\ndata: a\n\n");
    BOOST_TEST(!received.isComplete_);
    BOOST_TEST((received.duration_ < BeforeTimeout));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(from_an_engine_that_reads_a_prompt, GatewayFixture)

BOOST_AUTO_TEST_CASE(is_followed_by_a_run_without_its_cache)
{
    useAdaptiveServing();
    auto &prefill = addEngine(EngineStage::Prefill, { { brokenheads::withStatus("000", Fields) + R"({"h":1})" } });
    addEngine(EngineStage::Decode, { { "HTTP/1.1 200 OK\r\n" + Fields + "Content-Length: 7\r\n\r\nid: 1\n\n" } });
    const auto received = sendRequest("/engine/x", { { "X-Api-Key", "key-1" }, { "X-Token-Count", "5000,10" } });
    BOOST_TEST(prefill.requests().size() >= 1U);
    BOOST_TEST(received.status_ == 200);
    BOOST_TEST((received.duration_ < BeforeTimeout));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
