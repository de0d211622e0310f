#include <boost/test/unit_test.hpp>

#include <chrono>
#include <string>
#include <vector>

#include <sys/socket.h>
#include <unistd.h>

#include "answers/brokenanswers.h"
#include "gateway/crashverifier.h"
#include "http1/listener.h"
#include "task/eventloop.h"
#include "task/timer.h"

using namespace cowsliphead;
using namespace std::chrono_literals;

namespace
{

/// Longer than the verifier waits for the connection to stay open.
constexpr auto CheckTime = 200ms;

constexpr auto LongCheckTime = 3s;

/// A server that sends bytes on each new connection, unasked, and the check whether it is alive.
struct SpeakingServer {
    EventLoop loop_;
    std::vector<int> sockets_;

    ~SpeakingServer()
    {
        for (const int socket : sockets_) {
            ::close(socket);
        }
    }

    bool isTakenForAlive(const std::string &bytes, std::chrono::milliseconds limit = CheckTime)
    {
        Listener listener(loop_, [this, &bytes](int socket) {
            sockets_.push_back(socket);
            BOOST_TEST(::send(socket, bytes.data(), bytes.size(), MSG_NOSIGNAL) == ssize_t(bytes.size()));
        });
        const auto port = *listener.listen(SocketAddress{ "127.0.0.1", 0 });
        bool isAlive = false;
        CrashVerifier verifier(loop_);
        verifier.verify({ "127.0.0.1", port }, [this, &isAlive] {
            isAlive = true;
            loop_.stop();
        });
        Timer end(loop_, [this] { loop_.stop(); });
        end.startOnce(limit);
        loop_.run();
        return isAlive;
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(the_check_whether_an_endpoint_has_crashed, SpeakingServer)

BOOST_AUTO_TEST_CASE(takes_one_that_keeps_the_connection_for_alive)
{
    BOOST_TEST(isTakenForAlive({}, LongCheckTime));
}

BOOST_AUTO_TEST_CASE(takes_no_broken_answer_for_a_sign_of_life)
{
    for (const auto &answers : { brokenanswers::withInvalidStatus({}, "body"), brokenanswers::withInvalidFieldName({}, "body") }) {
        for (const auto &answer : answers) {
            BOOST_TEST(!isTakenForAlive(answer.bytes_), answer.bytes_);
        }
    }
    BOOST_TEST(!isTakenForAlive("HTTP/1.1 200 OK\r\n\r\npart"));
}

BOOST_AUTO_TEST_SUITE_END()
