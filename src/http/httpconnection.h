#pragma once

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>

struct evhttp_connection;

namespace cowsliphead
{

class EventLoop;

/// A connection to one server; carries one call at a time. Thread safety: the loop's task only.
class HttpConnection
{
public:
    /// Connects on the first call. Precondition: the loop outlives the connection.
    HttpConnection(EventLoop &loop, const std::string &host, std::uint16_t port, std::chrono::milliseconds timeout);
    ~HttpConnection();
    HttpConnection(const HttpConnection &) = delete;
    HttpConnection &operator=(const HttpConnection &) = delete;

    /// The underlying libevent object, for HttpCall.
    evhttp_connection *handle() const;

    /// Records that a call uses the connection.
    void markUsed();

    /// True if any call has used the connection.
    bool wasUsed() const;

private:
    struct ConnectionDeleter {
        void operator()(evhttp_connection *connection) const;
    };

    std::unique_ptr<evhttp_connection, ConnectionDeleter> connection_;
    bool wasUsed_ = false;
};

} // namespace cowsliphead
