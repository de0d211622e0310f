#include <boost/test/unit_test.hpp>

#include "gatewayworld.h"

using namespace cowsliphead;
using namespace std::chrono_literals;

namespace
{

using Script = RawEndpoint::Script;

const std::string Whole = "HTTP/1.1 200 OK\r\nX-Attempt-Id: ID\r\nX-Response-Stamp: s\r\nContent-Length: 4\r\n\r\nbody";
const std::string NotExecuted = "HTTP/1.1 503 Busy\r\nX-Attempt-Id: ID\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n";
const std::string CutShort = "HTTP/1.1 200 OK\r\nX-Attempt-Id: ID\r\nX-Response-Stamp: s\r\nContent-Length: 9\r\n\r\nbody";
const std::string OfAnother = "HTTP/1.1 200 OK\r\nX-Attempt-Id: someone\r\nX-Response-Stamp: s\r\nContent-Length: 5\r\n\r\nwrong";
const std::string StreamHead =
    "HTTP/1.1 200 OK\r\nX-Attempt-Id: ID\r\nX-Response-Stamp: s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";

std::string chunk(const std::string &data)
{
    return (data.size() < 16 ? "0" : "") + std::string(1, "0123456789abcdef"[data.size() / 16]) + std::string(1, "0123456789abcdef"[data.size() % 16]) + "\r\n"
        + data + "\r\n";
}

} // namespace

BOOST_AUTO_TEST_SUITE(a_gateway)

BOOST_AUTO_TEST_SUITE(with_a_working_endpoint)

BOOST_AUTO_TEST_CASE(passes_the_answer_on_unchanged_and_the_key_not_at_all)
{
    GatewayWorld world;
    auto &endpoint = world.addEndpoint({ { Whole } });
    const auto answer = world.ask("/safe/x");
    BOOST_TEST(answer.status_ == 200);
    BOOST_TEST(answer.body_ == "body");
    BOOST_TEST(headerValue(answer.headers_, "X-Response-Stamp") == "s");
    BOOST_REQUIRE(endpoint.requests().size() == 1U);
    BOOST_TEST(endpoint.requests()[0].find("key-1") == std::string::npos);
    BOOST_TEST(endpoint.requests()[0].find("X-Tenant: press") != std::string::npos);
    BOOST_TEST(world.begun_ == 1);
}

BOOST_AUTO_TEST_CASE(gives_a_span_for_each_hop)
{
    GatewayWorld world;
    auto &endpoint = world.addEndpoint({ { Whole } });
    world.ask("/safe/x", { { "X-Api-Key", "key-1" }, { "traceparent", "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01" } });
    BOOST_REQUIRE(world.spans_.size() == 2U);
    const auto &dispatch = world.spans_[0];
    const auto &request = world.spans_[1];
    BOOST_TEST(request.parentSpanId_ == "b7ad6b7169203331");
    BOOST_TEST(dispatch.parentSpanId_ == request.context_.spanId_);
    BOOST_TEST(dispatch.context_.traceId_ == "0af7651916cd43dd8448eb211c80319c");
    BOOST_TEST(endpoint.requests()[0].find("traceparent: " + dispatch.context_.toTraceparent()) != std::string::npos);
}

BOOST_AUTO_TEST_CASE(denies_an_unknown_key_and_an_unknown_route)
{
    GatewayWorld world;
    auto &endpoint = world.addEndpoint({ { Whole } });
    BOOST_TEST(world.ask("/safe/x", { { "X-Api-Key", "none" } }).status_ == 401);
    BOOST_TEST(world.ask("/nowhere/").status_ == 404);
    BOOST_TEST(endpoint.requests().empty());
}

BOOST_AUTO_TEST_CASE(sends_nothing_with_a_key_whose_withdrawal_it_may_have_missed)
{
    GatewayWorld world(4900ms);
    auto &endpoint = world.addEndpoint({ { Whole } });
    const auto answer = world.ask("/safe/x");
    BOOST_TEST(answer.status_ == 503);
    BOOST_TEST(!headerValue(answer.headers_, "Retry-After").empty());
    BOOST_TEST(endpoint.requests().empty());
}

BOOST_AUTO_TEST_CASE(cancels_the_request_of_a_caller_that_leaves)
{
    GatewayWorld world;
    auto &endpoint = world.addEndpoint({});
    world.askAndLeave("/safe/x");
    BOOST_TEST(endpoint.requests().size() == 1U);
    BOOST_TEST(endpoint.closedConnections() == 1);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(with_an_endpoint_that_refuses)

BOOST_AUTO_TEST_CASE(asks_another_for_any_kind_of_request)
{
    for (const auto *path : { "/safe/x", "/once/x" }) {
        GatewayWorld world;
        world.addEndpoint({ { NotExecuted } });
        auto &second = world.addEndpoint({ { Whole } });
        BOOST_TEST(world.ask(path).status_ == 200);
        BOOST_TEST(second.requests().size() == 1U);
    }
}

BOOST_AUTO_TEST_CASE(does_not_choose_it_again_for_a_while)
{
    // An endpoint that refuses has nothing to do and looks like the best choice.
    GatewayWorld world;
    auto &first = world.addEndpoint({ { NotExecuted } });
    auto &second = world.addEndpoint({ { Whole } });
    BOOST_TEST(world.ask("/safe/x").status_ == 200);
    BOOST_TEST(world.ask("/safe/x").status_ == 200);
    BOOST_TEST(first.requests().size() == 1U);
    BOOST_TEST(second.requests().size() == 2U);
}

BOOST_AUTO_TEST_CASE(refuses_with_a_time_to_come_back_if_there_is_no_other)
{
    GatewayWorld world;
    world.addEndpoint({ { NotExecuted } });
    const auto answer = world.ask("/once/x");
    BOOST_TEST(answer.status_ == 503);
    BOOST_TEST(!headerValue(answer.headers_, "Retry-After").empty());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(with_an_endpoint_whose_answer_is_lost)

BOOST_AUTO_TEST_CASE(runs_a_request_again_only_if_that_does_no_harm)
{
    GatewayWorld world;
    world.addEndpoint({ { CutShort, true } });
    auto &second = world.addEndpoint({ { Whole } });
    BOOST_TEST(world.ask("/safe/x").status_ == 200);
    BOOST_TEST(second.requests().size() == 1U);
}

BOOST_AUTO_TEST_CASE(does_not_say_that_it_has_not_run)
{
    GatewayWorld world;
    world.addEndpoint({ { CutShort, true } });
    auto &second = world.addEndpoint({ { Whole } });
    const auto answer = world.ask("/once/x");
    BOOST_TEST(answer.status_ == 502);
    BOOST_TEST(headerValue(answer.headers_, "Retry-After").empty());
    BOOST_TEST(second.requests().empty());
}

BOOST_AUTO_TEST_CASE(passes_no_bytes_on_that_are_no_answer)
{
    GatewayWorld world;
    world.addEndpoint({ { "rubbish\r\n\r\n", true } });
    BOOST_TEST(world.ask("/once/x").status_ == 502);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(with_an_endpoint_that_answers_too_much)

BOOST_AUTO_TEST_CASE(skips_the_answer_of_another_request)
{
    GatewayWorld world;
    world.addEndpoint({ { OfAnother + Whole } });
    const auto answer = world.ask("/once/x");
    BOOST_TEST(answer.status_ == 200);
    BOOST_TEST(answer.body_ == "body");
}

BOOST_AUTO_TEST_CASE(does_not_use_the_connection_again)
{
    GatewayWorld world;
    auto &endpoint = world.addEndpoint({ { Whole + OfAnother }, { Whole } });
    BOOST_TEST(world.ask("/safe/x").body_ == "body");
    BOOST_TEST(world.ask("/safe/x").body_ == "body");
    BOOST_TEST(endpoint.closedConnections() >= 1);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(with_a_stream_that_falls_silent)

BOOST_AUTO_TEST_CASE(waits_if_no_other_endpoint_can_go_on)
{
    // Found by a hunt (namib-verse, hunt-e888-35): the stream was cut although nothing could take it over.
    GatewayWorld world;
    world.addEndpoint({ { StreamHead + chunk("id: 1\ndata: a\n\n"), false, chunk("id: 2\ndata: b\n\n") + "0\r\n\r\n", 1200ms } });
    const auto answer = world.ask("/stream/x");
    BOOST_TEST(answer.isWhole_);
    BOOST_TEST(answer.body_ == "id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
}

BOOST_AUTO_TEST_CASE(goes_on_at_another_endpoint_if_there_is_one)
{
    GatewayWorld world;
    world.addEndpoint({ { StreamHead + chunk("id: 1\ndata: a\n\n") } });
    world.addEndpoint({ { StreamHead + chunk("id: 2\ndata: b\n\n") + "0\r\n\r\n" } });
    BOOST_TEST(world.ask("/stream/x").body_ == "id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(with_a_stream_that_breaks_off)

BOOST_AUTO_TEST_CASE(goes_on_at_another_endpoint_after_the_last_whole_event)
{
    GatewayWorld world;
    world.addEndpoint({ { StreamHead + chunk("id: 1\ndata: a\n\nid: 2\nda"), true } });
    auto &second = world.addEndpoint({ { StreamHead + chunk("id: 2\ndata: b\n\n") + "0\r\n\r\n" } });
    const auto answer = world.ask("/stream/x");
    BOOST_TEST(answer.isWhole_);
    BOOST_TEST(answer.body_ == "id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
    BOOST_REQUIRE(second.requests().size() == 1U);
    BOOST_TEST(second.requests()[0].find("Last-Event-Id: 1\r\n") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(does_not_look_complete_if_no_endpoint_can_go_on)
{
    GatewayWorld world;
    world.addEndpoint({ { StreamHead + chunk("id: 1\ndata: a\n\n"), true } });
    BOOST_TEST(!world.ask("/stream/x").isWhole_);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(that_is_ordered_to_stop)

BOOST_AUTO_TEST_CASE(rejects_a_request_that_it_could_not_finish)
{
    // Found by a hunt (tks-bundles, mix --seed 539880423139): requests taken late in a stop were cut without an answer.
    GatewayWorld world(0ms, 4500ms);
    auto &endpoint = world.addEndpoint({ { Whole } });
    world.drainFor(3100ms);
    const auto answer = world.ask("/safe/x");
    BOOST_TEST(answer.status_ == 503);
    BOOST_TEST(!headerValue(answer.headers_, "Retry-After").empty());
    BOOST_TEST(endpoint.requests().empty());
}

BOOST_AUTO_TEST_CASE(answers_what_is_still_in_hand_at_its_end)
{
    GatewayWorld world(0ms, 1000ms);
    world.addEndpoint({ { "" } });
    world.drainFor(0ms);
    const auto answer = world.ask("/once/x");
    BOOST_TEST(answer.isWhole_);
    BOOST_TEST(answer.status_ == 502);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
