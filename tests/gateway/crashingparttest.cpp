#include <boost/test/unit_test.hpp>

#include "gatewayfixture.h"

using namespace cowsliphead;

namespace
{

constexpr int EndpointCount = 8;

/// Endpoints that crash when they begin to answer a request with one part of a prompt, and answer all others.
struct Fixture : GatewayFixture {
    std::vector<RawEndpoint *> endpoints_;
    int requests_ = 0;

    Fixture()
    {
        const RawEndpoint::Script script{ .bytes_ = "HTTP/1.1 200 OK\r\nX-Attempt-Id: ID\r\nX-Response-Stamp: s\r\nContent-Length: 9\r\n\r\ndata: b\n\n",
                                          .crashesOn_ = "deadly:" };
        for (int number = 0; number < EndpointCount; ++number) {
            endpoints_.push_back(&addEndpoint({ script }));
        }
    }

    /// Sends a request that is like no other, with these parts before its own.
    Answer send(const std::string &sharedParts)
    {
        const auto name = std::to_string(++requests_);
        return sendRequest("/stream/" + name, { { "X-Api-Key", "key-1" }, { "X-Prompt-Prefix", sharedParts + ",own" + name + ":5" } });
    }

    std::size_t arrivals() const
    {
        std::size_t arrivals = 0;
        for (const auto *endpoint : endpoints_) {
            arrivals += endpoint->requests().size();
        }
        return arrivals;
    }
};

} // namespace

// Regression test (incident BUDGET, LOST): gateways counted crashes by whole requests, so that different requests with one part of a prompt
// crashed endpoint after endpoint.
BOOST_FIXTURE_TEST_SUITE(a_part_of_prompts_that_crashes_each_endpoint, Fixture)

BOOST_AUTO_TEST_CASE(is_sent_to_no_endpoint_once_three_requests_with_it_have_crashed_one_each)
{
    for (int request = 0; request < 3; ++request) {
        send("first:9,deadly:7");
    }
    const auto before = arrivals();
    BOOST_TEST(before <= 6U);
    const auto answer = send("first:9,deadly:7");
    BOOST_TEST(answer.status_ == 503);
    BOOST_TEST(std::stod(headerValue(answer.headers_, "Retry-After")) > 500);
    BOOST_TEST(arrivals() == before);
}

BOOST_AUTO_TEST_CASE(is_found_among_other_parts_that_only_come_with_it)
{
    for (int request = 0; request < 3; ++request) {
        send("first:9,other" + std::to_string(request) + ":3,deadly:7");
    }
    BOOST_TEST(send("first:9,deadly:7,between:3").status_ == 503);
    BOOST_TEST(send("first:9").status_ == 200);
    BOOST_TEST(send("deadly:7").status_ == 503);
}

BOOST_AUTO_TEST_CASE(keeps_no_sound_request_of_its_account_or_with_its_other_parts_from_being_served)
{
    for (int request = 0; request < 4; ++request) {
        send("first:9,deadly:7,last:3");
        BOOST_TEST(send("first:9,sound:7,last:3").status_ == 200);
    }
    BOOST_TEST(send("first:9,deadly:7,last:3").status_ == 503);
    BOOST_TEST(send("first:9").status_ == 200);
    BOOST_TEST(send("last:3").status_ == 200);
}

BOOST_AUTO_TEST_SUITE_END()
