#include <boost/test/unit_test.hpp>

#include "gatewayfixture.h"

using namespace cowsliphead;
using namespace std::chrono_literals;

namespace
{

const std::string Fields = "\r\nX-Attempt-Id: ID\r\nX-Response-Stamp: s\r\n";
const std::string Success = "HTTP/1.1 200 OK" + Fields + "Content-Length: 4\r\n\r\nbody";
const std::string FromAnother = "HTTP/1.1 421 Misdirected" + Fields + "X-Instance-Id: another\r\nContent-Length: 0\r\n\r\n";

struct AdaptiveGateway : GatewayFixture {
    AdaptiveGateway()
    {
        useAdaptiveServing();
    }

    /// The kinds of the failures that the gateway tells the others.
    std::vector<EndpointFailureKind> toldKinds()
    {
        std::vector<EndpointFailureKind> kinds;
        for (const auto &failure : localLoad().failures_) {
            kinds.push_back(failure.kind_);
        }
        return kinds;
    }
};

bool isOnly(const std::vector<EndpointFailureKind> &kinds, EndpointFailureKind kind)
{
    return kinds == std::vector{ kind };
}

} // namespace

BOOST_AUTO_TEST_SUITE(a_gateway_with_adaptive_serving)

BOOST_FIXTURE_TEST_SUITE(tells_the_others, AdaptiveGateway)

BOOST_AUTO_TEST_CASE(of_an_endpoint_that_cannot_be_reached)
{
    publishOthers(1);
    sendRequest("/safe/x");
    BOOST_TEST(isOnly(toldKinds(), EndpointFailureKind::Unreachable));
}

BOOST_AUTO_TEST_CASE(of_an_endpoint_that_closes_the_connection_without_an_answer)
{
    addEndpoint({ { "HTTP/1.1 200", true } });
    BOOST_TEST(sendRequest("/once/x").status_ == 502);
    BOOST_TEST(isOnly(toldKinds(), EndpointFailureKind::ClosedUnanswered));
}

BOOST_AUTO_TEST_CASE(of_an_endpoint_in_whose_place_another_answers)
{
    addEndpoint({ { FromAnother } });
    sendRequest("/once/x");
    BOOST_TEST(isOnly(toldKinds(), EndpointFailureKind::Replaced));
}

BOOST_AUTO_TEST_CASE(nothing_of_an_endpoint_that_is_full)
{
    addEndpoint({ { "HTTP/1.1 503 Busy" + Fields + "X-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n" } });
    sendRequest("/once/x");
    BOOST_TEST(toldKinds().empty());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(tells_the_others_how_fast, AdaptiveGateway)

BOOST_AUTO_TEST_CASE(an_engine_read_a_prompt_and_what_was_ahead_of_it)
{
    const std::string prefilled = "HTTP/1.1 200 OK" + Fields + "Content-Length: 14\r\n\r\n";
    addEngine(EngineStage::Prefill, { { prefilled, false, R"({"handle":"h"})", 60ms } });
    addEngine(EngineStage::Decode, { { "HTTP/1.1 200 OK" + Fields + "Content-Length: 7\r\n\r\nid: 1\n\n" } });
    reportPromptTokens(3000);
    BOOST_TEST(sendRequest("/engine/x", { { "X-Api-Key", "key-1" }, { "X-Token-Count", "5000,10" } }).status_ == 200);
    const auto observations = localLoad().observations_;
    BOOST_REQUIRE(observations.size() == 1U);
    BOOST_TEST(observations.front().endpoint_ == reportKeyOf(0));
    // The sums decay from the moment of the answer.
    BOOST_TEST((observations.front().tokensRead_ > 7900 && observations.front().tokensRead_ <= 8000));
    BOOST_TEST((observations.front().readingTime_ >= 59ms && observations.front().readingTime_ < 1s));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(takes_what_others_placed_at_an_endpoint, AdaptiveGateway)

// Regression test: a load that others had placed at the start before was counted for the next one, which has nothing of it.
BOOST_AUTO_TEST_CASE(for_the_start_at_which_they_placed_it)
{
    const std::string prefilled = "HTTP/1.1 200 OK" + Fields + "Content-Length: 14\r\n\r\n";
    addEngine(EngineStage::Prefill, { { prefilled, false, R"({"handle":"h"})", 60ms } });
    addEngine(EngineStage::Decode, { { "HTTP/1.1 200 OK" + Fields + "Content-Length: 7\r\n\r\nid: 1\n\n" } });
    const HttpHeaders longPrompt{ { "X-Api-Key", "key-1" }, { "X-Token-Count", "5000,10" } };
    sendRequest("/engine/x", longPrompt);
    const auto told = localLoad().observations_;
    BOOST_REQUIRE(told.size() == 1U);
    const auto before = told.front().endpoint_;
    restartEndpoints();
    reportPromptTokens(before, 3000);
    sendRequest("/engine/x", longPrompt);
    const auto observations = localLoad().observations_;
    BOOST_REQUIRE(observations.size() == 1U);
    BOOST_TEST(observations.front().endpoint_ != before);
    BOOST_TEST((observations.front().tokensRead_ > 4900 && observations.front().tokensRead_ <= 5000));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(sends_nothing_to_an_endpoint, AdaptiveGateway)

BOOST_AUTO_TEST_CASE(that_others_saw_fail_until_their_reports_are_old)
{
    auto &first = addEndpoint({ { Success } });
    addEndpoint({ { Success } });
    reportFailure(EndpointFailureKind::Unreachable, 2);
    sendRequest("/safe/x");
    // One in twenty requests is a trial.
    const auto trials = first.requests().size();
    BOOST_TEST(trials <= 1U);
    run(2100ms);
    localLoad();
    sendRequest("/safe/x");
    BOOST_TEST(first.requests().size() == trials + 1);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(a_gateway_without_adaptive_serving, GatewayFixture)

BOOST_AUTO_TEST_CASE(neither_tells_nor_heeds_failures)
{
    auto &first = addEndpoint({ { Success }, { FromAnother } });
    addEndpoint({ { Success } });
    reportFailure(EndpointFailureKind::Replaced, 1);
    sendRequest("/safe/x");
    BOOST_TEST(first.requests().size() == 1U);
    sendRequest("/safe/x");
    BOOST_TEST(localLoad().failures_.empty());
}

BOOST_AUTO_TEST_SUITE_END()
