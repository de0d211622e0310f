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

/// HTTP client for one server. Opens a connection for each concurrent call and reuses idle ones.
/// Thread safety: the loop's task only.
class HttpClient
{
public:
    /// timeout limits the time to connect, and the time that an open connection may stay silent during a call.
    /// Precondition: the loop outlives the client.
    HttpClient(EventLoop &loop, std::string host, std::uint16_t port, std::chrono::milliseconds timeout);
    ~HttpClient();
    HttpClient(const HttpClient &) = delete;
    HttpClient &operator=(const HttpClient &) = delete;

    /// Sends the request; the callbacks are called in later iterations of the loop.
    std::shared_ptr<HttpCall> call(const HttpRequest &request, HttpCallEvents events, ConnectionChoice choice = ConnectionChoice::Any);

    void closeIdleConnections();

    /// Number of open connections that carry no call.
    std::size_t idleConnectionCount() const;

private:
    struct IdleConnection {
        std::unique_ptr<HttpConnection> connection_;
        MonotonicTime idleSince_;
    };

    /// Ordered by the time of last use, the most recent at the back.
    using IdleConnections = std::deque<IdleConnection>;

    std::unique_ptr<HttpConnection> takeConnection(ConnectionChoice choice);

    EventLoop &loop_;
    std::string host_;
    std::uint16_t port_;
    std::chrono::milliseconds timeout_;

    /// Running calls hold a weak reference and return their connections here, unless the client was destroyed.
    std::shared_ptr<IdleConnections> idle_;
};

} // namespace cowsliphead
