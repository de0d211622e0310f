#include <boost/test/unit_test.hpp>

#include "gatewayfixture.h"

using namespace cowsliphead;

namespace
{

const std::string PartOfResponse = "HTTP/1.1 200 OK\r\nX-Attempt-Id: ID\r\nX-Response-Stamp: s\r\nContent-Length: 9\r\n\r\nbody";

/// The endpoint crashes in the middle of its answer.
const RawEndpoint::Script Crash{ .bytes_ = PartOfResponse, .crashes_ = true };

/// The endpoint closes the connection in the middle of its answer and goes on.
const RawEndpoint::Script LostAnswer{ .bytes_ = PartOfResponse, .closesConnection_ = true };

std::size_t requestsAt(const std::vector<RawEndpoint *> &endpoints)
{
    std::size_t requests = 0;
    for (const auto *endpoint : endpoints) {
        requests += endpoint->requests().size();
    }
    return requests;
}

std::vector<RawEndpoint *> addEndpoints(GatewayFixture &fixture, const std::vector<RawEndpoint::Script> &scripts)
{
    constexpr int Count = 8;
    std::vector<RawEndpoint *> endpoints;
    endpoints.reserve(Count);
    for (int number = 0; number < Count; ++number) {
        endpoints.push_back(&fixture.addEndpoint(scripts));
    }
    return endpoints;
}

} // namespace

// Regression test (incident BUDGET, namib-verse): a gateway knew nothing of a request beyond one attempt, so that a request that crashes
// endpoints crashed one after the other.
BOOST_AUTO_TEST_SUITE(a_request_that_crashes_each_endpoint)

BOOST_AUTO_TEST_CASE(is_sent_to_no_endpoint_after_the_third_crash)
{
    for (const auto *path : { "/safe/x", "/once/x", "/stream/x" }) {
        GatewayFixture fixture;
        const auto endpoints = addEndpoints(fixture, { Crash });
        for (int submission = 0; submission < 6; ++submission) {
            fixture.sendRequest(path);
        }
        BOOST_TEST(requestsAt(endpoints) == 3U);
    }
}

BOOST_AUTO_TEST_CASE(is_refused_as_not_run_with_the_time_until_it_may_come_back)
{
    GatewayFixture fixture;
    addEndpoints(fixture, { Crash });
    for (int submission = 0; submission < 3; ++submission) {
        fixture.sendRequest("/once/x");
    }
    const auto answer = fixture.sendRequest("/once/x");
    BOOST_TEST(answer.status_ == 503);
    BOOST_TEST(std::stod(headerValue(answer.headers_, "Retry-After")) > 500);
}

BOOST_AUTO_TEST_CASE(is_not_said_to_have_not_run_by_the_submission_that_crashed_the_third)
{
    GatewayFixture fixture;
    addEndpoints(fixture, { Crash });
    fixture.sendRequest("/once/x");
    fixture.sendRequest("/once/x");
    BOOST_TEST(fixture.sendRequest("/once/x").status_ == 502);
}

BOOST_AUTO_TEST_CASE(does_not_keep_other_requests_from_being_served)
{
    GatewayFixture fixture;
    const auto endpoints = addEndpoints(fixture, { Crash });
    for (int submission = 0; submission < 3; ++submission) {
        fixture.sendRequest("/once/x");
    }
    BOOST_TEST(fixture.sendRequest("/once/x").status_ == 503);
    const auto before = requestsAt(endpoints);
    fixture.sendRequest("/once/y");
    BOOST_TEST(requestsAt(endpoints) == before + 1);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(a_request_whose_answer_is_lost_again_and_again)

BOOST_AUTO_TEST_CASE(is_not_quarantined_as_the_endpoints_are_alive)
{
    GatewayFixture fixture;
    const auto endpoints = addEndpoints(fixture, { LostAnswer });
    for (int submission = 0; submission < 6; ++submission) {
        fixture.sendRequest("/once/x");
        fixture.run(std::chrono::milliseconds(200));
    }
    BOOST_TEST(requestsAt(endpoints) == 6U);
}

BOOST_AUTO_TEST_SUITE_END()
