#include <csignal>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <boost/test/unit_test.hpp>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>
#include <netinet/in.h>

#include "core/socketport.h"
#include "http/httpcall.h"
#include "http/httpclient.h"
#include "http/httprequest.h"
#include "task/eventloop.h"

using namespace cowsliphead;

namespace
{

/// A server that answers whatever is asked with fixed bytes, and may then close the connection.
class BytesServer
{
public:
    BytesServer(EventLoop &loop, std::string bytes, bool closes)
        : loop_(loop)
        , bytes_(std::move(bytes))
        , closes_(closes)
    {
        // As in the program: a write to a closed connection is an error, not the end of the process.
        std::signal(SIGPIPE, SIG_IGN);
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        listener_ = evconnlistener_new_bind(
            loop.base(), &BytesServer::onAccept, this, LEV_OPT_CLOSE_ON_FREE, -1, reinterpret_cast<const sockaddr *>(&address), sizeof(address));
    }

    ~BytesServer()
    {
        for (auto *connection : connections_) {
            bufferevent_free(connection);
        }
        evconnlistener_free(listener_);
    }

    BytesServer(const BytesServer &) = delete;
    BytesServer &operator=(const BytesServer &) = delete;

    std::uint16_t port() const
    {
        return portOfSocket(evconnlistener_get_fd(listener_));
    }

    std::size_t connectionCount() const
    {
        return connections_.size();
    }

    /// Runs the loop until a client has closed its end of a connection.
    void waitUntilLeft()
    {
        stopsWhenLeft_ = true;
        loop_.run();
        stopsWhenLeft_ = false;
    }

private:
    static void onAccept(evconnlistener * /*listener*/, evutil_socket_t descriptor, sockaddr * /*address*/, int /*length*/, void *self)
    {
        auto *server = static_cast<BytesServer *>(self);
        auto *connection = bufferevent_socket_new(server->loop_.base(), descriptor, BEV_OPT_CLOSE_ON_FREE);
        server->connections_.push_back(connection);
        bufferevent_setcb(connection, &BytesServer::onRead, nullptr, nullptr, self);
        bufferevent_enable(connection, EV_READ | EV_WRITE);
    }

    static void onRead(bufferevent *connection, void *self)
    {
        auto *input = bufferevent_get_input(connection);
        evbuffer_drain(input, evbuffer_get_length(input));
        auto *server = static_cast<BytesServer *>(self);
        bufferevent_write(connection, server->bytes_.data(), server->bytes_.size());
        // Only from now on does an empty output mean that the answer was written.
        bufferevent_setcb(connection, &BytesServer::onRead, &BytesServer::onWritten, &BytesServer::onEvent, self);
    }

    static void onEvent(bufferevent * /*connection*/, short what, void *self)
    {
        auto *server = static_cast<BytesServer *>(self);
        if ((what & BEV_EVENT_EOF) != 0 && server->stopsWhenLeft_) {
            server->loop_.stop();
        }
    }

    static void onWritten(bufferevent *connection, void *self)
    {
        if (static_cast<BytesServer *>(self)->closes_) {
            shutdown(bufferevent_getfd(connection), SHUT_WR);
        }
    }

    EventLoop &loop_;
    std::string bytes_;
    bool closes_;
    bool stopsWhenLeft_ = false;
    evconnlistener *listener_ = nullptr;
    std::vector<bufferevent *> connections_;
};

struct Fixture {
    EventLoop loop_;
    std::unique_ptr<BytesServer> server_;
    std::unique_ptr<HttpClient> client_;

    void serve(const std::string &bytes, bool closes)
    {
        server_ = std::make_unique<BytesServer>(loop_, bytes, closes);
        client_ = std::make_unique<HttpClient>(loop_, "127.0.0.1", server_->port(), std::chrono::seconds(30));
    }

    bool isTakenForWhole()
    {
        bool isWhole = false;
        HttpCallEvents events;
        events.onEnd_ = [&](const tl::expected<void, HttpCallFailure> &end) {
            isWhole = end.has_value();
            loop_.stop();
        };
        const auto call = client_->call({ HttpMethod::Get, "/", {}, {}, {} }, std::move(events));
        loop_.run();
        return isWhole;
    }
};

} // namespace

BOOST_AUTO_TEST_SUITE(an_answer)

BOOST_FIXTURE_TEST_SUITE(that_ends_with_its_connection, Fixture)

BOOST_AUTO_TEST_CASE(is_not_whole_if_it_has_no_length)
{
    serve("HTTP/1.1 200 OK\r\n\r\npart", true);
    BOOST_TEST(!isTakenForWhole());
}

BOOST_AUTO_TEST_CASE(is_not_whole_if_it_is_shorter_than_its_length)
{
    serve("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\npart", true);
    BOOST_TEST(!isTakenForWhole());
}

BOOST_AUTO_TEST_CASE(is_not_whole_without_the_last_chunk)
{
    serve("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\npart\r\n", true);
    BOOST_TEST(!isTakenForWhole());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(that_more_bytes_follow, Fixture)

BOOST_AUTO_TEST_CASE(leaves_a_connection_that_is_not_used_again)
{
    serve("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nfullHTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nother", false);
    BOOST_TEST(isTakenForWhole());
    BOOST_TEST(client_->idleConnectionCount() == 0U);
    BOOST_TEST(isTakenForWhole());
    BOOST_TEST(server_->connectionCount() == 2U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(that_is_whole, Fixture)

BOOST_AUTO_TEST_CASE(leaves_a_connection_for_the_next_call)
{
    serve("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nfull", false);
    BOOST_TEST(isTakenForWhole());
    BOOST_TEST(isTakenForWhole());
    BOOST_TEST(server_->connectionCount() == 1U);
}

BOOST_AUTO_TEST_CASE(can_be_followed_by_another_though_the_server_closes_the_idle_connection)
{
    serve("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nfull", true);
    BOOST_TEST(isTakenForWhole());
    server_->waitUntilLeft();
    BOOST_TEST(isTakenForWhole());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
