#include <boost/test/unit_test.hpp>

#include <array>
#include <memory>
#include <string>

#include <sys/socket.h>
#include <unistd.h>

#include "http1/callerconnection.h"
#include "task/eventloop.h"
#include "task/timer.h"

using namespace cowsliphead;
using namespace std::chrono_literals;

namespace
{

/// Far longer than the loop takes for an exchange.
constexpr auto ExchangeTime = 30ms;

CallerConnectionLimits limits()
{
    return { .maxHeadBytes_ = 1000, .maxBodyBytes_ = 1000, .headTimeout_ = 200ms, .idleTimeout_ = 400ms };
}

/// A connection with limits() whose caller gets 200 for each request that is read whole.
struct Caller {
    EventLoop loop_;
    std::array<int, 2> sockets_{ -1, -1 };
    std::unique_ptr<CallerConnection> connection_;
    CallerConnectionLimits limits_ = limits();
    bool isClosed_ = false;

    Caller()
    {
        BOOST_REQUIRE(socketpair(AF_UNIX, SOCK_STREAM, 0, sockets_.data()) == 0);
        connection_ = std::make_unique<CallerConnection>(loop_,
                                                         sockets_[0],
                                                         limits(),
                                                         CallerConnectionEvents{
                                                             .onRequest_ = [this](const CallerRequest &) { connection_->respond(200, "OK", {}, {}); },
                                                             .onDisconnected_ = [] {},
                                                             .onRequestRefused_ = [](int /*status*/) {},
                                                             .onClosed_ =
                                                                 [this] {
                                                                     connection_.reset();
                                                                     isClosed_ = true;
                                                                 },
                                                         });
    }

    ~Caller()
    {
        ::close(sockets_[1]);
    }

    Caller(const Caller &) = delete;
    Caller &operator=(const Caller &) = delete;

    void run(std::chrono::milliseconds time = ExchangeTime)
    {
        Timer end(loop_, [this] { loop_.stop(); });
        end.startOnce(time);
        loop_.run();
    }

    void send(const std::string &bytes)
    {
        BOOST_REQUIRE(::send(sockets_[1], bytes.data(), bytes.size(), MSG_NOSIGNAL) == ssize_t(bytes.size()));
        run();
    }

    /// The status of the answer that has arrived; 0 if there is none.
    int status()
    {
        std::array<char, 4096> bytes{};
        const auto length = ::recv(sockets_[1], bytes.data(), bytes.size(), MSG_DONTWAIT);
        const std::string answer(bytes.data(), length < 0 ? 0 : std::size_t(length));
        constexpr std::size_t StatusAt = 9;
        return answer.size() < StatusAt + 3 ? 0 : std::stoi(answer.substr(StatusAt, 3));
    }

    int exchange(const std::string &request)
    {
        send(request);
        return status();
    }

    int exchangeHead(std::size_t size)
    {
        return exchange("GET / HTTP/1.1\r\nHost: h\r\nFiller: " + std::string(size, 'a') + "\r\n\r\n");
    }

    int exchangeBody(std::size_t size)
    {
        return exchange("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: " + std::to_string(size) + "\r\n\r\n" + std::string(size, 'a'));
    }

    int exchangeChunkedBody()
    {
        return exchange("POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n7d0\r\n" + std::string(2000, 'a') + "\r\n0\r\n\r\n");
    }

    /// Puts limits in force of which one has changed.
    template <typename Limit, typename Value>
    void change(Limit CallerConnectionLimits::*limit, Value value)
    {
        limits_.*limit = value;
        connection_->setLimits(limits_);
    }
};

/// The same after a first request.
struct UsedCaller : Caller {
    UsedCaller()
    {
        BOOST_REQUIRE(exchangeBody(10) == 200);
    }
};

} // namespace

// Regression test (review/10, DENIED): a connection kept the limits that were in force as it was accepted. After they were raised, proper
// requests on open connections were refused with 413 or 431, and after they were lowered, open connections went on with the old ones.
BOOST_AUTO_TEST_SUITE(a_callers_connection)

BOOST_FIXTURE_TEST_SUITE(whose_limits_change, UsedCaller)

BOOST_AUTO_TEST_CASE(accepts_longer_bodies_once_they_are_allowed)
{
    change(&CallerConnectionLimits::maxBodyBytes_, 5000);
    BOOST_TEST(exchangeBody(2000) == 200);
    BOOST_TEST(exchangeChunkedBody() == 200);
}

BOOST_AUTO_TEST_CASE(refuses_bodies_that_are_no_longer_allowed)
{
    change(&CallerConnectionLimits::maxBodyBytes_, 500);
    BOOST_TEST(exchangeBody(800) == 413);
}

BOOST_AUTO_TEST_CASE(accepts_longer_heads_once_they_are_allowed)
{
    change(&CallerConnectionLimits::maxHeadBytes_, 5000);
    BOOST_TEST(exchangeHead(2000) == 200);
}

BOOST_AUTO_TEST_CASE(accepts_heads_of_any_length_that_is_allowed)
{
    change(&CallerConnectionLimits::maxHeadBytes_, 200000);
    BOOST_TEST(exchangeHead(150000) == 200);
    BOOST_TEST(exchangeHead(210000) == 431);
}

BOOST_AUTO_TEST_CASE(refuses_heads_that_are_no_longer_allowed)
{
    change(&CallerConnectionLimits::maxHeadBytes_, 500);
    BOOST_TEST(exchangeHead(800) == 431);
}

BOOST_AUTO_TEST_CASE(waits_longer_for_a_head_once_that_is_allowed)
{
    change(&CallerConnectionLimits::headTimeout_, 2s);
    send("GET / HTTP/1.1\r\n");
    run(300ms);
    BOOST_TEST(exchange("Host: h\r\n\r\n") == 200);
}

BOOST_AUTO_TEST_CASE(waits_no_longer_for_a_head_than_is_allowed_now)
{
    change(&CallerConnectionLimits::headTimeout_, 60ms);
    send("GET / HTTP/1.1\r\n");
    run(80ms);
    BOOST_TEST(status() == 408);
}

BOOST_AUTO_TEST_CASE(waits_longer_between_two_parts_of_a_body_once_that_is_allowed)
{
    change(&CallerConnectionLimits::idleTimeout_, 2s);
    send("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\na");
    run(500ms);
    BOOST_TEST(exchange("b") == 200);
}

BOOST_AUTO_TEST_CASE(waits_no_longer_between_two_parts_of_a_body_than_is_allowed_now)
{
    change(&CallerConnectionLimits::idleTimeout_, 60ms);
    send("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\na");
    run(80ms);
    BOOST_TEST(status() == 408);
}

BOOST_AUTO_TEST_CASE(stays_open_for_longer_once_that_is_allowed)
{
    run(200ms);
    change(&CallerConnectionLimits::idleTimeout_, 2s);
    run(400ms);
    BOOST_TEST(exchangeBody(10) == 200);
}

BOOST_AUTO_TEST_CASE(is_closed_after_a_shorter_time_that_counts_from_the_change)
{
    run(200ms);
    change(&CallerConnectionLimits::idleTimeout_, 100ms);
    run(50ms);
    BOOST_TEST(!isClosed_);
    run(100ms);
    BOOST_TEST(isClosed_);
}

BOOST_AUTO_TEST_CASE(is_closed_no_later_than_before_if_the_shorter_time_would_end_later)
{
    run(250ms);
    change(&CallerConnectionLimits::idleTimeout_, 300ms);
    run(200ms);
    BOOST_TEST(isClosed_);
}

BOOST_AUTO_TEST_CASE(is_not_kept_open_by_limits_that_are_set_again_and_again)
{
    for (int time = 0; time < 10 && !isClosed_; ++time) {
        run(50ms);
        if (!isClosed_) {
            connection_->setLimits(limits());
        }
    }
    BOOST_TEST(isClosed_);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(whose_limits_change_before_its_first_request, Caller)

BOOST_AUTO_TEST_CASE(goes_by_the_new_ones)
{
    change(&CallerConnectionLimits::maxBodyBytes_, 5000);
    change(&CallerConnectionLimits::maxHeadBytes_, 5000);
    BOOST_TEST(exchangeBody(2000) == 200);
    BOOST_TEST(exchangeHead(2000) == 200);
}

BOOST_AUTO_TEST_CASE(stays_open_for_longer_once_that_is_allowed)
{
    run(200ms);
    change(&CallerConnectionLimits::idleTimeout_, 2s);
    run(400ms);
    BOOST_TEST(exchangeBody(10) == 200);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(whose_limits_change_while_it_reads_a_request, UsedCaller)

BOOST_AUTO_TEST_CASE(judges_it_by_those_from_before_and_the_next_by_the_new_ones)
{
    send("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 800\r\n\r\n");
    change(&CallerConnectionLimits::maxBodyBytes_, 500);
    change(&CallerConnectionLimits::maxHeadBytes_, 10);
    BOOST_TEST(exchange(std::string(800, 'a')) == 200);
    BOOST_TEST(exchangeBody(800) == 431);
}

BOOST_AUTO_TEST_CASE(refuses_what_was_too_long_as_it_began)
{
    send("POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n7d0\r\n");
    change(&CallerConnectionLimits::maxBodyBytes_, 5000);
    BOOST_TEST(exchange(std::string(2000, 'a') + "\r\n0\r\n\r\n") == 413);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
