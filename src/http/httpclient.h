#pragma once

#include <chrono>
#include <cstdint>
#include <deque>
#include <memory>
#include <string>

#include "core/time.h"
#include "http/connectionchoice.h"
#include "http/httpcallevents.h"

namespace cowsliphead
{

class EventLoop;
class HttpCall;
class HttpConnection;
struct HttpRequest;

/// Calls one server, on as many connections as there are calls at the same time; idle ones are used again.
class HttpClient
{
public:
    /// timeout bounds connecting and the silence of an open connection. Precondition: the loop outlives the client.
    /// Thread safety: the loop's task only.
    HttpClient(EventLoop &loop, std::string host, std::uint16_t port, std::chrono::milliseconds timeout);
    ~HttpClient();
    HttpClient(const HttpClient &) = delete;
    HttpClient &operator=(const HttpClient &) = delete;

    /// Sends the request; the events follow in later turns of the loop. Thread safety: the loop's task only.
    std::shared_ptr<HttpCall> call(const HttpRequest &request, HttpCallEvents events, ConnectionChoice choice = ConnectionChoice::Any);

    /// Thread safety: the loop's task only.
    void closeIdleConnections();

    /// Connections open and without a call. Thread safety: the loop's task only.
    std::size_t idleConnectionCount() const;

private:
    struct IdleConnection {
        std::unique_ptr<HttpConnection> connection_;
        MonotonicTime since_;
    };

    /// The one that was used last is at the back.
    using IdleConnections = std::deque<IdleConnection>;

    std::unique_ptr<HttpConnection> takeConnection(ConnectionChoice choice);

    EventLoop &loop_;
    std::string host_;
    std::uint16_t port_;
    std::chrono::milliseconds timeout_;

    /// Shared with running calls, which hand their connections back here, or nowhere if the client is gone.
    std::shared_ptr<IdleConnections> idle_;
};

} // namespace cowsliphead
