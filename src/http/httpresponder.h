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

/// Sends the response to one request received by an HttpServer. Thread safety: the server's task only.
class HttpResponder
{
public:
    /// Precondition: the request is owned by the server and not yet answered.
    explicit HttpResponder(evhttp_request *request);
    ~HttpResponder();
    HttpResponder(const HttpResponder &) = delete;
    HttpResponder &operator=(const HttpResponder &) = delete;

    /// Sends a complete response. Precondition: nothing was sent before.
    void reply(const HttpResponseHead &head, std::string_view body);

    /// Sends the head of a chunked response. Precondition: nothing was sent before.
    void startChunks(const HttpResponseHead &head);

    /// Sends one chunk; does nothing if the client has disconnected. Precondition: startChunks() was called.
    void sendChunk(std::string_view data);

    /// Completes a chunked response. Precondition: startChunks() was called.
    void endChunks();

    /// Closes the connection without completing the response, as a crash would.
    void abort();

    /// False once the response has ended or the client has disconnected.
    bool isOpen() const;

    /// Sets a callback, called at most once, for a client that disconnects before the response has ended.
    void onClientDisconnected(std::function<void()> callback);

    /// The client's port number. Precondition: isOpen().
    std::uint16_t clientPort() const;

private:
    static void onConnectionClosed(evhttp_connection *connection, void *self);
    void writeHeaders(const HttpResponseHead &head);
    void detach();

    evhttp_request *request_;
    std::function<void()> onClientDisconnected_;
};

} // namespace cowsliphead
