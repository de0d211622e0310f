#include <boost/test/unit_test.hpp>

#include "answers/brokenanswers.h"
#include "peer/peerconnection.h"
#include "task/timer.h"

using namespace cowsliphead;
using namespace std::chrono_literals;

namespace
{

constexpr auto PollInterval = 10ms;

/// Time for the answer to arrive once it was written.
constexpr auto AnswerTime = 50ms;

/// Limits the wait for the connection.
constexpr auto ConnectTime = 5s;

void run(EventLoop &loop, std::chrono::milliseconds time)
{
    Timer end(loop, [&loop] { loop.stop(); });
    end.startOnce(time);
    loop.run();
}

/// The server answers nng's greeting, which comes before the query itself.
bool reachesTheGateway(const RawEndpoint::Script &answer)
{
    EventLoop loop;
    RawEndpoint peer(loop, { answer });
    bool isAnswered = false;
    PeerConnection connection(loop, { "127.0.0.1", peer.port() }, [&isAnswered](std::string_view /*bytes*/) { isAnswered = true; });
    connection.sendQuery("query");
    const auto deadline = std::chrono::steady_clock::now() + ConnectTime;
    while (peer.requests().empty() && std::chrono::steady_clock::now() < deadline) {
        run(loop, PollInterval);
    }
    BOOST_TEST(!peer.requests().empty());
    run(loop, AnswerTime);
    return isAnswered;
}

} // namespace

// Gateways ask each other over nng, which takes no other bytes for an answer.
BOOST_AUTO_TEST_SUITE(a_broken_answer_at_the_address_of_a_relay)

BOOST_AUTO_TEST_CASE(does_not_reach_the_gateway_that_asks)
{
    for (const auto &answers : { brokenanswers::withInvalidStatus({}, "body"),
                                 brokenanswers::withInvalidFieldName({}, "body"),
                                 brokenanswers::withInvalidHeadLine({}, "body"),
                                 brokenanswers::cutOff("HTTP/1.1 200 OK\r\n\r\npart") }) {
        for (const auto &answer : answers) {
            BOOST_TEST(!reachesTheGateway(answer), brokenanswers::describe(answer));
        }
    }
}

BOOST_AUTO_TEST_SUITE_END()
