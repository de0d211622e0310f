#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <cerrno>
#include <chrono>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include "answers/brokenanswers.h"
#include "core/systemclock.h"
#include "decide/crashkeys.h"
#include "fleet/endpointentry.h"
#include "gateway/crashverifier.h"
#include "http1/listener.h"
#include "platform/platformdialect.h"
#include "rawendpoint.h"
#include "task/eventloop.h"
#include "task/timer.h"

using namespace cowsliphead;
using namespace std::chrono_literals;

namespace
{

/// Longer than an endpoint takes for an answer.
constexpr auto CheckTime = 200ms;

/// Longer than the verifier waits for one.
constexpr auto LongCheckTime = 700ms;
constexpr std::uint64_t Listed = 7;

std::string answer(const std::string &body, const std::string &status = "200 OK")
{
    return "HTTP/1.1 " + status + "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

/// An endpoint that is asked for its start, and the check whether it is alive.
struct AskedEndpoint {
    EventLoop loop_;
    CrashVerifier verifier_{ loop_, { PlatformDialect::stateRequest, PlatformDialect::readIncarnation } };
    std::unique_ptr<RawEndpoint> endpoint_;
    std::vector<LifeSign> signs_;

    EndpointEntry entry(std::uint64_t incarnation = Listed) const
    {
        EndpointEntry entry;
        entry.id_ = EndpointId("endpoint");
        entry.incarnation_ = incarnation;
        entry.address_ = { "127.0.0.1", endpoint_->port() };
        return entry;
    }

    void verify(std::uint64_t incarnation = Listed)
    {
        verifier_.verify(entry(incarnation), [this](const LifeSign &sign) { signs_.push_back(sign); });
    }

    void run(std::chrono::milliseconds time = CheckTime)
    {
        Timer end(loop_, [this] { loop_.stop(); });
        end.startOnce(time);
        loop_.run();
    }

    bool isTakenForAlive(RawEndpoint::Script script, std::chrono::milliseconds time = CheckTime)
    {
        endpoint_ = std::make_unique<RawEndpoint>(loop_, std::vector{ std::move(script) });
        verify();
        run(time);
        return !signs_.empty();
    }

    /// The same for a server that sends the bytes on each new connection, unasked.
    bool isTakenForAliveUnasked(const std::string &bytes)
    {
        std::vector<int> sockets;
        Listener listener(loop_, [&sockets, &bytes](int socket) {
            sockets.push_back(socket);
            BOOST_TEST(::send(socket, bytes.data(), bytes.size(), MSG_NOSIGNAL) == ssize_t(bytes.size()));
        });
        EndpointEntry speaking;
        speaking.id_ = EndpointId("endpoint");
        speaking.incarnation_ = Listed;
        speaking.address_ = { "127.0.0.1", *listener.listen(SocketAddress{ "127.0.0.1", 0 }) };
        verifier_.verify(speaking, [this](const LifeSign &sign) { signs_.push_back(sign); });
        run();
        std::for_each(sockets.begin(), sockets.end(), ::close);
        return !signs_.empty();
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(the_check_whether_an_endpoint_has_crashed, AskedEndpoint)

BOOST_AUTO_TEST_CASE(takes_one_that_names_the_start_for_alive)
{
    const auto before = SystemClock().now();
    BOOST_REQUIRE(isTakenForAlive({ .bytes_ = answer(R"({"stage":"decode","born":7,"sequence":3})") }));
    BOOST_TEST(signs_.size() == 1U);
    BOOST_TEST((signs_.front().endpoint_ == crashkeys::ofEndpoint(EndpointId("endpoint"), Listed)));
    BOOST_TEST(!signs_.front().openedAt_.has_value());
    BOOST_TEST((signs_.front().askedAt_ >= before));
    BOOST_TEST(endpoint_->requests().front().rfind("GET /api/report HTTP/1.1\r\n", 0) == 0U);
    BOOST_TEST(endpoint_->requests().front().find("X-Expect-Instance: endpoint\r\n") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(asks_once_for_losses_at_the_same_moment)
{
    endpoint_ = std::make_unique<RawEndpoint>(loop_, std::vector<RawEndpoint::Script>{ { .bytes_ = answer(R"({"born":7})") } });
    verify();
    verify();
    run();
    BOOST_TEST(signs_.size() == 2U);
    BOOST_TEST(endpoint_->requests().size() == 1U);
}

// Regression test (review/8, BUDGET): a connection that was accepted counted as a sign of life, although the endpoint may have started again.
BOOST_AUTO_TEST_CASE(takes_no_accepted_connection_for_a_sign_of_life)
{
    BOOST_TEST(!isTakenForAlive({}, LongCheckTime));
}

BOOST_AUTO_TEST_CASE(takes_no_other_start_for_the_one_that_is_listed)
{
    BOOST_TEST(!isTakenForAlive({ .bytes_ = answer(R"({"born":8})") }));
}

BOOST_AUTO_TEST_CASE(takes_no_answer_that_names_no_start_for_a_sign_of_life)
{
    for (const auto *body : { "", "{}", "7", "[7]", R"({"born":"7"})", R"({"born":7.0})", R"({"born":-7})", R"({"born":null})", R"({"state":{"born":7}})" }) {
        BOOST_TEST(!isTakenForAlive({ .bytes_ = answer(body) }), body);
    }
}

BOOST_AUTO_TEST_CASE(takes_no_refusal_for_a_sign_of_life)
{
    BOOST_TEST(!isTakenForAlive({ .bytes_ = answer(R"({"born":7})", "421 Misdirected Request") }));
    BOOST_TEST(!isTakenForAlive({ .bytes_ = answer(R"({"born":7})", "503 Service Unavailable") }));
}

BOOST_AUTO_TEST_CASE(asks_no_endpoint_whose_start_is_not_known)
{
    endpoint_ = std::make_unique<RawEndpoint>(loop_, std::vector<RawEndpoint::Script>{ { .bytes_ = answer(R"({"born":0})") } });
    verify(0);
    run();
    BOOST_TEST(signs_.empty());
    BOOST_TEST(endpoint_->requests().empty());
}

BOOST_AUTO_TEST_CASE(takes_no_broken_answer_for_a_sign_of_life)
{
    const std::string body = R"({"born":7})";
    for (const auto &answers :
         { brokenanswers::withInvalidStatus({}, body), brokenanswers::withInvalidFieldName({}, body), brokenanswers::withInvalidHeadLine({}, body) }) {
        for (const auto &broken : answers) {
            BOOST_TEST(!isTakenForAlive(broken), broken.bytes_);
        }
    }
    BOOST_TEST(!isTakenForAlive({ .bytes_ = "HTTP/1.1 200 OK\r\nContent-Length: 99\r\n\r\n" + body, .closesConnection_ = true }));
}

BOOST_AUTO_TEST_CASE(takes_no_unasked_bytes_for_a_sign_of_life)
{
    const std::string body = R"({"born":7})";
    for (const auto &answers :
         { brokenanswers::withInvalidStatus({}, body), brokenanswers::withInvalidFieldName({}, body), brokenanswers::withInvalidHeadLine({}, body) }) {
        for (const auto &broken : answers) {
            BOOST_TEST(!isTakenForAliveUnasked(broken.bytes_), broken.bytes_);
        }
    }
    BOOST_TEST(!isTakenForAliveUnasked("HTTP/1.1 200 OK\r\n\r\npart"));
    BOOST_TEST(!isTakenForAliveUnasked(answer(body)));
}

BOOST_AUTO_TEST_CASE(gives_up_on_an_endpoint_that_answers_without_end)
{
    BOOST_TEST(!isTakenForAlive({ .bytes_ = "HTTP/1.1 200 OK\r\n\r\n", .endlessBytes_ = std::string(16384, ' ') }, LongCheckTime));
}

BOOST_AUTO_TEST_SUITE(that_is_silent_while_the_gateway_stands_still)

/// An address at which connections are neither accepted nor refused.
class FullBacklog
{
public:
    FullBacklog()
        : listener_(::socket(AF_INET, SOCK_STREAM, 0))
    {
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        socklen_t size = sizeof(address);
        BOOST_REQUIRE(::bind(listener_, reinterpret_cast<const sockaddr *>(&address), size) == 0);
        BOOST_REQUIRE(::listen(listener_, 0) == 0);
        BOOST_REQUIRE(::getsockname(listener_, reinterpret_cast<sockaddr *>(&address), &size) == 0);
        port_ = ntohs(address.sin_port);
        constexpr int MoreThanTheBacklog = 8;
        for (int number = 0; number < MoreThanTheBacklog; ++number) {
            waiting_.push_back(::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0));
            const int result = ::connect(waiting_.back(), reinterpret_cast<const sockaddr *>(&address), size);
            BOOST_REQUIRE((result == 0 || errno == EINPROGRESS));
        }
    }

    ~FullBacklog()
    {
        for (const int socket : waiting_) {
            ::close(socket);
        }
        ::close(listener_);
    }

    FullBacklog(const FullBacklog &) = delete;
    FullBacklog &operator=(const FullBacklog &) = delete;

    std::uint16_t port() const
    {
        return port_;
    }

private:
    int listener_;
    std::uint16_t port_ = 0;
    std::vector<int> waiting_;
};

BOOST_FIXTURE_TEST_CASE(is_not_taken_for_alive_and_can_be_asked_again, AskedEndpoint)
{
    // Guards against a process that ends as it wakes: the time-outs of the connection and of the check are due at once (review/15).
    const FullBacklog silent;
    EndpointEntry entry;
    entry.id_ = EndpointId("endpoint");
    entry.incarnation_ = Listed;
    entry.address_ = { "127.0.0.1", silent.port() };
    const auto ask = [&] { verifier_.verify(entry, [this](const LifeSign &sign) { signs_.push_back(sign); }); };
    ask();
    run(50ms);
    std::this_thread::sleep_for(LongCheckTime);
    run();
    ask();
    run(LongCheckTime);
    BOOST_TEST(signs_.empty());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
