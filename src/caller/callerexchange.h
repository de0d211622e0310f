#pragma once

#include <functional>
#include <memory>
#include <string_view>

#include <evhtp/evhtp.h>

#include "http/httpresponsehead.h"

namespace cowsliphead
{

class EventLoop;

/// The answering side of one caller's request. It lives at least as long as the request in the library, and later drops what it is given.
class CallerExchange : public std::enable_shared_from_this<CallerExchange>
{
public:
    /// onReleased is called once the library is done with the request: the response is written out, or the caller has left.
    /// Preconditions: the loop outlives the exchange, the request is not yet answered. Thread safety: the server's task only.
    CallerExchange(EventLoop &loop, evhtp_request_t *request, std::function<void()> onReleased);
    ~CallerExchange();

    /// Binds the exchange to its request. Precondition: called once, after the construction. Thread safety: the server's task only.
    void attach();
    CallerExchange(const CallerExchange &) = delete;
    CallerExchange &operator=(const CallerExchange &) = delete;

    /// Sends the whole response. Precondition: nothing was sent before. Thread safety: the server's task only.
    void reply(const HttpResponseHead &head, std::string_view body);

    /// Sends the head of a response that goes on in chunks. Precondition: nothing was sent before. Thread safety: the server's task only.
    void startChunks(const HttpResponseHead &head);

    /// Pieces of one turn of the loop leave together at its end. Precondition: startChunks() was called. Thread safety: the server's task only.
    void sendChunk(std::string_view data);

    /// Ends the response whole. Precondition: startChunks() was called. Thread safety: the server's task only.
    void endChunks();

    /// Closes the connection, so that the caller sees that the response is not whole. Thread safety: the server's task only.
    void abort();

    /// The connection takes no further request after this one. Precondition: nothing was sent before. Thread safety: the server's task only.
    void disableKeepAlive();

    /// True once a head was sent. Thread safety: the server's task only.
    bool isStarted() const;

    /// Calls back once if the caller leaves before the response has ended. Thread safety: the server's task only.
    void onCallerLeft(std::function<void()> callback);

private:
    struct FreeBuffer {
        void operator()(evbuffer *buffer) const;
    };

    static evhtp_res onRequestFinished(evhtp_request_t *request, void *self);
    void writeHeaders(const HttpResponseHead &head);
    void flush();

    EventLoop &loop_;
    evhtp_request_t *request_;

    /// Keeps the exchange for as long as the library may call back.
    std::shared_ptr<CallerExchange> self_;
    std::function<void()> released_;
    bool isStarted_ = false;
    bool isEnded_ = false;
    std::function<void()> callerLeft_;
    std::unique_ptr<evbuffer, FreeBuffer> unsent_;
};

} // namespace cowsliphead
