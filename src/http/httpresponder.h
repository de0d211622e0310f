#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

#include "http/httpresponsehead.h"

struct evhttp_connection;
struct evhttp_request;

namespace cowsliphead
{

/// The answering side of one request that an HttpServer took in.
class HttpResponder
{
public:
    /// Precondition: the request is owned by the server and not yet answered. Thread safety: the server's task only.
    explicit HttpResponder(evhttp_request *request);
    ~HttpResponder();
    HttpResponder(const HttpResponder &) = delete;
    HttpResponder &operator=(const HttpResponder &) = delete;

    /// Sends the whole response. Precondition: nothing was sent before. Thread safety: the server's task only.
    void reply(const HttpResponseHead &head, std::string_view body);

    /// Sends the head of a response that goes on in chunks. Precondition: nothing was sent before. Thread safety: the server's task only.
    void startChunks(const HttpResponseHead &head);

    /// Dropped if the client has left. Precondition: startChunks() was called. Thread safety: the server's task only.
    void sendChunk(std::string_view data);

    /// Precondition: startChunks() was called. Thread safety: the server's task only.
    void endChunks();

    /// Closes the connection in the middle of the response, as a crash would. Thread safety: the server's task only.
    void abort();

    /// False once the response has ended or the client has left. Thread safety: the server's task only.
    bool isOpen() const;

    /// Calls back once if the client leaves before the response has ended. Thread safety: the server's task only.
    void onClientDisconnected(std::function<void()> callback);

    /// The port at the client's end of the connection. Precondition: isOpen(). Thread safety: the server's task only.
    std::uint16_t clientPort() const;

private:
    static void onConnectionClosed(evhttp_connection *connection, void *self);
    void writeHeaders(const HttpResponseHead &head);
    void release();

    evhttp_request *request_;
    std::function<void()> clientLeft_;
};

} // namespace cowsliphead
