#include <boost/test/unit_test.hpp>

#include <array>

#include "gatewayfixture.h"

using namespace cowsliphead;

namespace
{

const std::string CompleteResponse = "HTTP/1.1 200 OK\r\nX-Attempt-Id: ID\r\nX-Response-Stamp: s\r\nContent-Length: 4\r\n\r\nbody";

/// The statuses by which a caller learns that its request has not run and never will.
constexpr std::array<int, 4> Refusals{ 408, 421, 429, 503 };

std::string response(int status, const std::string &fields)
{
    return "HTTP/1.1 " + std::to_string(status) + " Status\r\nX-Attempt-Id: ID\r\n" + fields + "Content-Length: 6\r\n\r\nstored";
}

} // namespace

// An endpoint may run a request and then answer with a status that tells callers that it has not run. Only its field X-Not-Executed states
// that. Guards against forwarding such a status: callers sent the request again, and orders were carried out twice.
BOOST_AUTO_TEST_SUITE(a_refusal_without_the_statement_that_the_request_has_not_run)

BOOST_AUTO_TEST_CASE(does_not_reach_the_caller_as_a_refusal)
{
    for (const int status : Refusals) {
        for (const auto *fields : { "", "X-Response-Stamp: s\r\n", "X-Response-Stamp: s\r\nRetry-After: 1\r\n", "X-Not-Executed:\r\n" }) {
            for (const auto *path : { "/once/x", "/stream/x", "/safe/x" }) {
                BOOST_TEST_CONTEXT(path << ": " << status << " with " << fields)
                {
                    GatewayFixture fixture;
                    fixture.addEndpoint({ { response(status, fields) } });
                    const auto answer = fixture.sendRequest(path);
                    BOOST_TEST(answer.status_ == 502);
                    BOOST_TEST(headerValue(answer.headers_, "Retry-After").empty());
                    BOOST_TEST(answer.isComplete_);
                }
            }
        }
    }
}

BOOST_AUTO_TEST_CASE(is_no_reason_to_run_the_request_elsewhere_unless_it_may_be_repeated)
{
    for (const int status : Refusals) {
        BOOST_TEST_CONTEXT(status)
        {
            GatewayFixture fixture;
            fixture.addEndpoint({ { response(status, "X-Response-Stamp: s\r\n") } });
            auto &second = fixture.addEndpoint({ { CompleteResponse } });
            BOOST_TEST(fixture.sendRequest("/once/x").status_ == 502);
            BOOST_TEST(second.requests().empty());
        }
    }
}

BOOST_AUTO_TEST_CASE(is_followed_by_another_endpoint_if_the_request_may_be_repeated)
{
    for (const int status : Refusals) {
        BOOST_TEST_CONTEXT(status)
        {
            GatewayFixture fixture;
            fixture.addEndpoint({ { response(status, "X-Response-Stamp: s\r\n") } });
            fixture.addEndpoint({ { CompleteResponse } });
            BOOST_TEST(fixture.sendRequest("/safe/x").status_ == 200);
        }
    }
}

BOOST_AUTO_TEST_CASE(is_none_if_the_endpoint_that_answers_is_not_the_one_that_was_meant)
{
    GatewayFixture fixture;
    fixture.addEndpoint({ { response(421, "X-Instance-Id: other\r\n") } });
    auto &second = fixture.addEndpoint({ { CompleteResponse } });
    BOOST_TEST(fixture.sendRequest("/once/x").status_ == 200);
    BOOST_TEST(second.requests().size() == 1U);
}

BOOST_AUTO_TEST_CASE(is_one_if_the_endpoint_that_was_meant_answers_that_it_is_not)
{
    GatewayFixture fixture;
    fixture.addEndpoint({ { response(421, "X-Instance-Id: endpoint-0\r\n") } });
    auto &second = fixture.addEndpoint({ { CompleteResponse } });
    BOOST_TEST(fixture.sendRequest("/once/x").status_ == 502);
    BOOST_TEST(second.requests().empty());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(an_error_that_states_nothing_about_a_run)

BOOST_AUTO_TEST_CASE(is_forwarded_unchanged)
{
    for (const int status : { 400, 404, 409, 500, 501, 502, 504 }) {
        BOOST_TEST_CONTEXT(status)
        {
            GatewayFixture fixture;
            fixture.addEndpoint({ { response(status, "X-Response-Stamp: s\r\n") } });
            const auto answer = fixture.sendRequest("/once/x");
            BOOST_TEST(answer.status_ == status);
            BOOST_TEST(answer.body_ == "stored");
            BOOST_TEST(headerValue(answer.headers_, "X-Response-Stamp") == "s");
        }
    }
}

BOOST_AUTO_TEST_SUITE_END()
