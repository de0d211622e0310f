#pragma once

#include <functional>
#include <memory>
#include <string_view>

#include <evhtp/evhtp.h>

#include "http/httpresponsehead.h"

namespace cowsliphead
{

class EventLoop;

/// The response side of one caller's request. Stays alive at least until libevhtp frees the request; calls after that have no effect.
/// Thread safety: call only from the server's task.
class CallerExchange : public std::enable_shared_from_this<CallerExchange>
{
public:
    /// onReleased is called when libevhtp frees the request: the response was written, or the caller closed the connection.
    /// Preconditions: the loop outlives the exchange, the request is not yet answered.
    CallerExchange(EventLoop &loop, evhtp_request_t *request, std::function<void()> onReleased);
    ~CallerExchange();

    /// Registers the hook through which libevhtp reports that the request ends. Precondition: called once, directly after construction.
    void attach();
    CallerExchange(const CallerExchange &) = delete;
    CallerExchange &operator=(const CallerExchange &) = delete;

    /// Sends a complete response. Precondition: nothing was sent before.
    void reply(const HttpResponseHead &head, std::string_view body);

    /// Starts a chunked response by sending its head. Precondition: nothing was sent before.
    void startChunks(const HttpResponseHead &head);

    /// Buffers data; everything buffered in one iteration of the event loop is sent as one chunk. Precondition: startChunks() was called.
    void sendChunk(std::string_view data);

    /// Sends the buffered data and the terminating chunk. Precondition: startChunks() was called.
    void endChunks();

    /// Closes the connection without a terminating chunk, so that the caller can detect that the response is incomplete.
    void abort();

    /// Closes the connection after this response. Precondition: nothing was sent before.
    void disableKeepAlive();

    /// True once the head was sent.
    bool isStarted() const;

    /// Sets a callback that is called once if the caller closes the connection before the response is complete.
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

    /// Keeps the exchange alive while libevhtp may still call the hook.
    std::shared_ptr<CallerExchange> selfReference_;
    std::function<void()> onReleased_;
    bool isStarted_ = false;
    bool isEnded_ = false;
    std::function<void()> onCallerLeft_;
    std::unique_ptr<evbuffer, FreeBuffer> unsent_;
};

} // namespace cowsliphead
