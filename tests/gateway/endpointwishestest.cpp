#include <boost/test/unit_test.hpp>

#include "gatewayfixture.h"

using namespace cowsliphead;
using namespace std::chrono_literals;

namespace
{

const std::string Fields = "\r\nX-Attempt-Id: ID\r\nX-Response-Stamp: s\r\n";
const std::string Success = "HTTP/1.1 200 OK" + Fields + "Content-Length: 4\r\n\r\nbody";
const std::string LeavingSuccess = "HTTP/1.1 200 OK" + Fields + "Server-Leaving: 1\r\nContent-Length: 4\r\n\r\nbody";
const std::string PauseOfOneSecond = "HTTP/1.1 503 Busy" + Fields + "X-Not-Executed: 1\r\nRetry-After: 1\r\nContent-Length: 0\r\n\r\n";

} // namespace

BOOST_FIXTURE_TEST_SUITE(an_endpoint_that_says_in_an_answer_that_it_leaves, GatewayFixture)

BOOST_AUTO_TEST_CASE(gets_no_further_request_whatever_the_answer)
{
    for (const auto &answer : { LeavingSuccess,
                                "HTTP/1.1 404 Not Found" + Fields + "Server-Leaving: 1\r\nContent-Length: 0\r\n\r\n",
                                "HTTP/1.1 500 Failed" + Fields + "Server-Leaving: 1\r\nContent-Length: 0\r\n\r\n",
                                "HTTP/1.1 503 Busy" + Fields + "X-Not-Executed: 1\r\nServer-Leaving: 1\r\nContent-Length: 0\r\n\r\n",
                                "HTTP/1.1 200 OK" + Fields + "Server-Leaving: 1\r\nContent-Length: 7\r\n\r\nid: 1\n\n" }) {
        GatewayFixture fixture;
        auto &first = fixture.addEndpoint({ { answer } });
        fixture.addEndpoint({ { Success } });
        for (const auto *path : { "/stream/x", "/safe/x", "/once/x", "/safe/x" }) {
            fixture.sendRequest(path);
        }
        BOOST_TEST(first.requests().size() == 1U);
    }
}

BOOST_AUTO_TEST_CASE(gets_none_though_a_list_calls_it_ready)
{
    auto &first = addEndpoint({ { LeavingSuccess } });
    addEndpoint({ { Success } });
    sendRequest("/safe/x");
    publish();
    sendRequest("/safe/x");
    publishNothing();
    publish();
    sendRequest("/safe/x");
    BOOST_TEST(first.requests().size() == 1U);
}

BOOST_AUTO_TEST_CASE(gets_none_though_more_than_a_thousand_others_were_replaced_since)
{
    // Guards against states that are forgotten by identifier instead of by age.
    auto &first = addEndpoint({ { LeavingSuccess } });
    addEndpoint({ { Success } });
    sendRequest("/safe/x");
    publishOthers(1100);
    publishNothing();
    publish();
    sendRequest("/safe/x");
    BOOST_TEST(first.requests().size() == 1U);
}

BOOST_AUTO_TEST_CASE(gets_requests_again_as_another_incarnation)
{
    auto &first = addEndpoint({ { LeavingSuccess }, { Success } });
    BOOST_TEST(sendRequest("/safe/x").status_ == 200);
    restartEndpoints();
    BOOST_TEST(sendRequest("/safe/x").status_ == 200);
    BOOST_TEST(first.requests().size() == 2U);
}

// Regression test: what a start said before the list named it counted for the start before, and was forgotten with that.
BOOST_AUTO_TEST_CASE(gets_no_further_request_as_the_start_that_said_so_before_the_list_named_it)
{
    auto &first = addEndpoint({ { LeavingSuccess } });
    addEndpoint({ { Success } });
    restartEndpointsUnlisted();
    run(5ms);
    sendRequest("/safe/x");
    publish();
    sendRequest("/safe/x");
    BOOST_TEST(first.requests().size() == 1U);
}

BOOST_AUTO_TEST_CASE(leaves_callers_a_refusal_at_once_if_there_is_no_other)
{
    addEndpoint({ { LeavingSuccess } });
    sendRequest("/once/x");
    const auto answer = sendRequest("/once/x");
    BOOST_TEST(answer.status_ == 503);
    BOOST_TEST(!headerValue(answer.headers_, "Retry-After").empty());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(an_endpoint_that_asks_to_be_left_alone, GatewayFixture)

BOOST_AUTO_TEST_CASE(gets_nothing_for_that_time)
{
    auto &first = addEndpoint({ { PauseOfOneSecond }, { Success } });
    auto &second = addEndpoint({ { Success } });
    for (int request = 0; request < 5; ++request) {
        BOOST_TEST(sendRequest("/once/x").status_ == 200);
    }
    BOOST_TEST(first.requests().size() == 1U);
    BOOST_TEST(second.requests().size() == 5U);
}

BOOST_AUTO_TEST_CASE(gets_requests_again_after_that_time)
{
    auto &first = addEndpoint({ { PauseOfOneSecond }, { Success } });
    BOOST_TEST(sendRequest("/once/x").status_ == 503);
    run(1100ms);
    BOOST_TEST(sendRequest("/once/x").status_ == 200);
    BOOST_TEST(first.requests().size() == 2U);
}

BOOST_AUTO_TEST_CASE(gets_nothing_though_it_was_missing_from_a_list)
{
    auto &first = addEndpoint({ { PauseOfOneSecond }, { Success } });
    addEndpoint({ { Success } });
    sendRequest("/safe/x");
    publishNothing();
    publish();
    sendRequest("/safe/x");
    BOOST_TEST(first.requests().size() == 1U);
}

// Regression test: what a start said before the list named it counted for the start before, and was forgotten with that.
BOOST_AUTO_TEST_CASE(gets_nothing_as_the_start_that_said_so_before_the_list_named_it)
{
    auto &first = addEndpoint({ { PauseOfOneSecond }, { Success } });
    addEndpoint({ { Success } });
    restartEndpointsUnlisted();
    run(5ms);
    sendRequest("/safe/x");
    publish();
    sendRequest("/safe/x");
    BOOST_TEST(first.requests().size() == 1U);
}

BOOST_AUTO_TEST_CASE(gets_requests_at_once_as_another_start)
{
    auto &first = addEndpoint({ { PauseOfOneSecond }, { Success } });
    sendRequest("/safe/x");
    restartEndpoints();
    sendRequest("/safe/x");
    BOOST_TEST(first.requests().size() == 2U);
}

BOOST_AUTO_TEST_CASE(leaves_callers_a_refusal_with_the_time_of_its_return_if_there_is_no_other)
{
    auto &first = addEndpoint({ { PauseOfOneSecond } });
    sendRequest("/safe/x");
    for (int request = 0; request < 3; ++request) {
        const auto answer = sendRequest("/safe/x");
        BOOST_TEST(answer.status_ == 503);
        BOOST_TEST(std::stod(headerValue(answer.headers_, "Retry-After")) > 0.5);
        BOOST_TEST(std::stod(headerValue(answer.headers_, "Retry-After")) <= 1.5);
    }
    BOOST_TEST(first.requests().size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
