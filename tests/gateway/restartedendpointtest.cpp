#include <boost/test/unit_test.hpp>

#include "gatewayfixture.h"

using namespace cowsliphead;
using namespace std::chrono_literals;

namespace
{

constexpr int EndpointCount = 8;
constexpr std::uint64_t NextStart = 2;
const std::string Whole = "HTTP/1.1 200 OK\r\nX-Attempt-Id: ID\r\nX-Response-Stamp: s\r\nContent-Length: 9\r\n\r\nwhole one";

/// Endpoints that crash when they begin to answer a request with one part of a prompt, and start again under their identifiers and at their
/// addresses. The gateway's list goes on naming the starts before.
struct Fixture : GatewayFixture {
    std::vector<RawEndpoint *> endpoints_;
    int requests_ = 0;

    explicit Fixture(std::optional<std::uint64_t> restartsAs = std::nullopt)
    {
        for (int number = 0; number < EndpointCount; ++number) {
            endpoints_.push_back(&addEndpoint({ { .bytes_ = Whole, .restartsAs_ = restartsAs, .crashesOn_ = "deadly:" } }));
        }
    }

    /// Sends a request that is like no other, with these parts before its own.
    Answer send(const std::string &sharedParts)
    {
        const auto name = std::to_string(++requests_);
        return sendRequest("/once/" + name, { { "X-Api-Key", "key-1" }, { "X-Prompt-Prefix", sharedParts + ",own" + name + ":5" } });
    }

    void restartCrashed()
    {
        for (auto *endpoint : endpoints_) {
            if (endpoint->hasCrashed()) {
                endpoint->restart(NextStart);
            }
        }
    }

    void checkQuarantine()
    {
        const auto answer = send("first:9,deadly:7");
        BOOST_TEST(answer.status_ == 503);
        BOOST_TEST(std::stod(headerValue(answer.headers_, "Retry-After")) > 500);
    }
};

struct RestartingFixture : Fixture {
    RestartingFixture()
        : Fixture(NextStart)
    {
    }
};

} // namespace

// Regression test (review/8, BUDGET): what an endpoint did after it had started again under its identifier counted for the start that had
// crashed, as long as the list named that one, and ended the quarantine of the part that crashes endpoints.
BOOST_AUTO_TEST_SUITE(a_part_that_crashes_endpoints)

BOOST_FIXTURE_TEST_SUITE(that_start_again_before_the_list_says_so, Fixture)

BOOST_AUTO_TEST_CASE(stays_quarantined_while_the_new_starts_answer)
{
    for (int request = 0; request < 3; ++request) {
        send("first:9,deadly:7");
    }
    checkQuarantine();
    restartCrashed();
    // Longer than endpoints are avoided after a crash.
    run(1100ms);
    for (int request = 0; request < 4 * EndpointCount; ++request) {
        BOOST_TEST(send("first:9,sound" + std::to_string(request) + ":7").status_ == 200);
    }
    checkQuarantine();
}

BOOST_AUTO_TEST_CASE(stays_quarantined_once_the_list_names_the_new_starts)
{
    for (int request = 0; request < 3; ++request) {
        send("first:9,deadly:7");
    }
    restartCrashed();
    restartEndpoints();
    for (int request = 0; request < 2 * EndpointCount; ++request) {
        BOOST_TEST(send("first:9,sound:7").status_ == 200);
    }
    checkQuarantine();
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(that_are_back_at_once, RestartingFixture)

BOOST_AUTO_TEST_CASE(is_quarantined_although_the_new_starts_accept_connections)
{
    for (int request = 0; request < 3; ++request) {
        send("first:9,deadly:7");
    }
    // The endpoints are asked after each loss.
    run(700ms);
    checkQuarantine();
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

// After a false alarm, sound requests must not stay quarantined.
BOOST_AUTO_TEST_SUITE(a_part_that_other_gateways_hold_to_crash_endpoints)

BOOST_FIXTURE_TEST_SUITE(that_only_lost_answers, Fixture)

BOOST_AUTO_TEST_CASE(is_released_once_an_endpoint_names_the_start_that_is_listed)
{
    reportCrashes("sound", 6s);
    BOOST_TEST(send("sound:7").status_ == 503);
    run(4500ms);
    BOOST_TEST(send("sound:7").status_ == 200);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(that_have_started_again, Fixture)

BOOST_AUTO_TEST_CASE(stays_quarantined)
{
    for (auto *endpoint : endpoints_) {
        endpoint->setIncarnation(NextStart);
    }
    reportCrashes("deadly", 6s);
    run(4500ms);
    BOOST_TEST(send("first:9").status_ == 200);
    BOOST_TEST(send("deadly:7").status_ == 503);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
