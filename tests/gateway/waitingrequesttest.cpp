#include <boost/test/unit_test.hpp>

#include "gatewayfixture.h"

using namespace cowsliphead;
using namespace std::chrono_literals;

namespace
{

const std::string Success = "HTTP/1.1 200 OK\r\nX-Attempt-Id: ID\r\nX-Response-Stamp: s\r\nContent-Length: 4\r\n\r\nbody";

/// As many requests as the only endpoint may have in flight: 1.5 times its slots.
constexpr std::uint32_t FullLoad = 16;

struct FullEndpointFixture : GatewayFixture {
    FullEndpointFixture()
    {
        useAdaptiveServing();
        reportLoadOfOthers(FullLoad);
    }

    RawEndpoint &endpoint_ = addEndpoint({ { Success } });
};

} // namespace

BOOST_AUTO_TEST_SUITE(a_request_for_a_plain_service_whose_endpoints_are_full)

BOOST_FIXTURE_TEST_CASE(waits_and_is_answered_once_there_is_room, FullEndpointFixture)
{
    reportLoadOfOthers(FullLoad - 1, 200ms);
    const auto begin = SystemClock().now();
    BOOST_TEST(sendRequest("/once/x").status_ == 200);
    BOOST_TEST((SystemClock().now() - begin >= 190ms));
    BOOST_TEST(endpoint_.requests().size() == 1U);
}

BOOST_FIXTURE_TEST_CASE(is_refused_as_not_run_when_its_limit_comes, FullEndpointFixture)
{
    // The reports go on, so that it is certain that there is no room.
    for (auto after = 100ms; after <= 2000ms; after += 100ms) {
        reportLoadOfOthers(FullLoad, after);
    }
    const auto answer = sendRequest("/once/x");
    BOOST_TEST(answer.status_ == 503);
    BOOST_TEST(answer.body_ == "queue_timed_out");
    BOOST_TEST(!headerValue(answer.headers_, "Retry-After").empty());
    BOOST_TEST(endpoint_.requests().empty());
}

BOOST_FIXTURE_TEST_CASE(is_not_called_not_run_once_an_endpoint_may_have_begun_it, GatewayFixture)
{
    // Guards against a refusal from the queue of a request whose first endpoint was lost.
    useAdaptiveServing();
    auto &first = addEndpoint({ { .bytes_ = "", .laterBytes_ = "no HTTP\r\n\r\n", .pause_ = 200ms } });
    auto &second = addEndpoint({ { Success } });
    for (auto after = 100ms; after <= 2000ms; after += 100ms) {
        reportLoadOfOthers(FullLoad, after);
    }
    const auto answer = sendRequest("/safe/x");
    BOOST_TEST(answer.status_ == 502);
    BOOST_TEST(headerValue(answer.headers_, "Retry-After").empty());
    BOOST_TEST(first.requests().size() == 1U);
    BOOST_TEST(second.requests().empty());
}

BOOST_FIXTURE_TEST_CASE(is_sent_to_no_endpoint_after_its_caller_has_left, FullEndpointFixture)
{
    sendRequestAndDisconnect("/once/x");
    reportLoadOfOthers(0);
    run(50ms);
    BOOST_TEST(endpoint_.requests().empty());
    BOOST_TEST(sendRequest("/once/x").status_ == 200);
}

BOOST_FIXTURE_TEST_CASE(is_sent_as_before_without_adaptive_serving, GatewayFixture)
{
    addEndpoint({ { Success } });
    reportLoadOfOthers(100);
    BOOST_TEST(sendRequest("/once/x").status_ == 200);
}

BOOST_AUTO_TEST_SUITE_END()
