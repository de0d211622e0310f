#pragma once

#include <chrono>
#include <memory>
#include <string_view>

#include "core/time.h"
#include "http1/buffereventdeleter.h"
#include "http1/clientconnectionevents.h"
#include "http1/responseparser.h"
#include "http1/socketaddress.h"
#include "task/timer.h"

namespace cowsliphead
{

class EventLoop;

/// A connection to a server, with one request at a time.
class ClientConnection : public std::enable_shared_from_this<ClientConnection>
{
public:
    /// Thread safety: the loop's task only.
    ClientConnection(EventLoop &loop, SocketAddress address);
    ~ClientConnection();
    ClientConnection(const ClientConnection &) = delete;
    ClientConnection &operator=(const ClientConnection &) = delete;

    /// Takes a request's events; onOpen follows in a later turn. Precondition: no request is in hand. Thread safety: the loop's task only.
    void begin(ClientConnectionEvents events, std::chrono::milliseconds connectTimeout);

    /// Writes the request. Precondition: called once from within onOpen. Thread safety: the loop's task only.
    void write(std::string_view bytes);

    /// Closes the connection; no event follows. Thread safety: the loop's task only.
    void close();

    /// True if another request may follow on this connection at that time. Thread safety: the loop's task only.
    bool isReusable(MonotonicTime now) const;

private:
    enum class State {
        New,
        Connecting,
        Open,
        Closed,
    };

    static void onReadable(bufferevent *events, void *self);
    static void onEvent(bufferevent *events, short what, void *self);

    void connect(std::chrono::milliseconds timeout);
    void opened();
    bool takeHead(const ResponseHead &head);
    bool takeData(std::string_view data);
    void readAvailable();
    void messageComplete();
    void ended(short what);
    void fail(ConnectionFailure failure);
    void noteIdleLimit(const ResponseHead &head);

    EventLoop &loop_;
    SocketAddress address_;

    /// Shared, since an event may end the request that it belongs to.
    std::shared_ptr<ClientConnectionEvents> events_;
    std::unique_ptr<bufferevent, BufferEventDeleter> buffer_;
    ResponseParser parser_;
    Timer connectTimer_;
    State state_ = State::New;
    AnswerHandling use_ = AnswerHandling::Accept;
    bool isAwaiting_ = false;
    bool isWritten_ = false;
    bool isInterim_ = false;
    bool mayReuse_ = true;
    std::chrono::milliseconds idleLimit_{ 0 };
    MonotonicTime idleUntil_;
};

} // namespace cowsliphead
