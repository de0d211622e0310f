#pragma once

#include <chrono>
#include <cstddef>
#include <memory>
#include <optional>
#include <string_view>

#include "core/time.h"
#include "http1/buffereventdeleter.h"
#include "http1/buffershare.h"
#include "http1/clientconnectionevents.h"
#include "http1/responseparser.h"
#include "http1/socketaddress.h"
#include "task/timer.h"

namespace cowsliphead
{

class BufferBudget;
class EventLoop;

/// A connection to a server that carries one request at a time. Thread safety: the loop's task only.
class ClientConnection : public std::enable_shared_from_this<ClientConnection>
{
public:
    /// With a budget, what the connection buffers counts there; if that is revoked, the request fails. Precondition: the loop and the budget
    /// outlive the connection.
    ClientConnection(EventLoop &loop, SocketAddress address, BufferBudget *budget = nullptr);
    ~ClientConnection();
    ClientConnection(const ClientConnection &) = delete;
    ClientConnection &operator=(const ClientConnection &) = delete;

    /// Starts a request, connecting first on a new connection; onOpen_ follows in a later iteration of the loop.
    /// Precondition: no request is in progress.
    void begin(ClientConnectionEvents events, std::chrono::milliseconds connectTimeout);

    /// Writes the request. Precondition: called once per request, from within onOpen_.
    void write(std::string_view bytes);

    /// Stops reading the answer until resumeReading(), so that the server has to wait. Data that was received before may still follow.
    void pauseReading();

    /// Continues to read. No effect unless pauseReading() was called.
    void resumeReading();

    /// Closes the connection; no event follows.
    void close();

    /// When the connection was opened. Precondition: it was opened.
    MonotonicTime openedAt() const
    {
        return openedAt_;
    }

    /// True if another request may be sent on this connection at the given time.
    bool isReusable(MonotonicTime now) const;

private:
    enum class State {
        New,
        Connecting,
        Open,
        Closed,
    };

    static void onReadable(bufferevent *buffer, void *self);
    static void onWritten(bufferevent *buffer, void *self);
    static void onEvent(bufferevent *buffer, short what, void *self);

    void connect(std::chrono::milliseconds timeout);
    void handleConnected();
    bool handleHead(const ResponseHead &head);
    bool handleBody(std::string_view data);
    void readAvailable();
    void countBuffers();
    void handleMessageComplete();
    void handleConnectionEnd(short what);
    void fail(ConnectionFailure failure);
    void updateIdleTimeout(const ResponseHead &head);

    EventLoop &loop_;
    SocketAddress address_;

    /// Shared so that a callback can keep it alive while it ends its own request.
    std::shared_ptr<ClientConnectionEvents> events_;

    /// The unsent part of the request, the head that is being read, and what the kernel may receive while reading is paused.
    std::optional<BufferShare> share_;
    std::unique_ptr<bufferevent, BufferEventDeleter> buffer_;
    ResponseParser parser_;
    Timer connectTimer_;
    State state_ = State::New;
    AnswerHandling answerHandling_ = AnswerHandling::Accept;

    /// Bytes of the present request that were received and are not part of its answer's body.
    std::size_t extraBytes_ = 0;
    bool isAwaitingAnswer_ = false;
    bool isRequestWritten_ = false;
    bool isInterim_ = false;
    bool mayReuse_ = true;
    bool isPaused_ = false;
    std::chrono::milliseconds idleTimeout_{ 0 };
    MonotonicTime openedAt_;
    MonotonicTime reusableUntil_;
};

} // namespace cowsliphead
