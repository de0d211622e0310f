#pragma once

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>

struct evhttp_connection;

namespace cowsliphead
{

class EventLoop;

/// A connection to one server; carries one call at a time.
class HttpConnection
{
public:
    /// Connects on the first call. Precondition: the loop outlives the connection. Thread safety: the loop's task only.
    HttpConnection(EventLoop &loop, const std::string &host, std::uint16_t port, std::chrono::milliseconds timeout);
    ~HttpConnection();
    HttpConnection(const HttpConnection &) = delete;
    HttpConnection &operator=(const HttpConnection &) = delete;

    /// The libevent object, for HttpCall. Thread safety: the loop's task only.
    evhttp_connection *handle() const;

    /// A call goes over the connection. Thread safety: the loop's task only.
    void markUsed();

    /// True if a call has gone over the connection. Thread safety: the loop's task only.
    bool wasUsed() const;

private:
    struct FreeConnection {
        void operator()(evhttp_connection *connection) const;
    };

    std::unique_ptr<evhttp_connection, FreeConnection> connection_;
    bool wasUsed_ = false;
};

} // namespace cowsliphead
