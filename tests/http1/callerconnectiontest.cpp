#include <boost/test/unit_test.hpp>

#include <array>
#include <memory>
#include <string>
#include <vector>

#include <sys/socket.h>
#include <unistd.h>

#include "http1/callerconnection.h"
#include "task/eventloop.h"
#include "task/timer.h"

using namespace cowsliphead;

namespace
{

/// A connection of a caller that sends one request and reads nothing, and the order of the events that its owner gets.
class UnreadConnection
{
public:
    UnreadConnection()
    {
        BOOST_REQUIRE(socketpair(AF_UNIX, SOCK_STREAM, 0, sockets_.data()) == 0);
        connection_ = std::make_unique<CallerConnection>(loop_, sockets_[0], CallerConnectionLimits(), events());
        const std::string request = "GET / HTTP/1.1\r\nHost: h\r\n\r\n";
        BOOST_REQUIRE(::write(sockets_[1], request.data(), request.size()) == ssize_t(request.size()));
        run();
    }

    ~UnreadConnection()
    {
        ::close(sockets_[1]);
    }

    UnreadConnection(const UnreadConnection &) = delete;
    UnreadConnection &operator=(const UnreadConnection &) = delete;

    /// Sends a body that is longer than any connection buffers.
    void overflow()
    {
        connection_->beginAnswer(200, "OK", {});
        const std::string data(1U << 20U, 'a');
        for (int number = 0; number < 64; ++number) {
            connection_->sendBodyData(data);
            events_.emplace_back("sent");
        }
    }

    void run()
    {
        Timer end(loop_, [this] { loop_.stop(); });
        end.startOnce(std::chrono::milliseconds(20));
        loop_.run();
    }

    /// The events after the last "sent".
    std::vector<std::string> laterEvents() const
    {
        std::vector<std::string> later;
        for (const auto &event : events_) {
            later.push_back(event);
            if (event == "sent") {
                later.clear();
            }
        }
        return later;
    }

    std::vector<std::string> events_;

private:
    CallerConnectionEvents events()
    {
        return {
            .onRequest_ = [this](const CallerRequest & /*request*/) { events_.emplace_back("request"); },
            .onDisconnected_ = [this] { events_.emplace_back("disconnected"); },
            .onRequestRefused_ = [](int /*status*/) {},
            .onClosed_ =
                [this] {
                    events_.emplace_back("closed");
                    connection_.reset();
                },
        };
    }

    EventLoop loop_;
    std::array<int, 2> sockets_{ -1, -1 };
    std::unique_ptr<CallerConnection> connection_;
};

} // namespace

BOOST_AUTO_TEST_SUITE(a_callers_connection)

BOOST_AUTO_TEST_SUITE(whose_caller_does_not_read)

// Guards against an owner that is told of the end, and destroys the sender of the data, while that sender's call is on the stack: the gateway's
// process ended with SIGSEGV, and all requests in progress were lost.
BOOST_AUTO_TEST_CASE(tells_its_owner_of_the_end_only_after_the_call_that_caused_it)
{
    UnreadConnection caller;
    caller.overflow();
    BOOST_TEST(caller.laterEvents().empty());
    BOOST_TEST(std::count(caller.events_.begin(), caller.events_.end(), "disconnected") == 0);
    caller.run();
    const std::vector<std::string> expected{ "disconnected", "closed" };
    BOOST_TEST(caller.laterEvents() == expected, boost::test_tools::per_element());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
