#pragma once

#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "core/time.h"
#include "http/httpheaders.h"
#include "http1/buffereventdeleter.h"
#include "http1/callerbuffers.h"
#include "http1/callerconnectionevents.h"
#include "http1/callerconnectionlimits.h"
#include "http1/requestparser.h"
#include "task/timer.h"

namespace cowsliphead
{

class BufferBudget;
class EventLoop;

/// A caller's connection: reads one request at a time and writes its answer. Thread safety: the loop's task only.
class CallerConnection
{
public:
    /// Takes ownership of the socket. With a budget, what the connection buffers counts there: a revoked body that is being read is refused with
    /// 503, and a connection with revoked unsent bytes is closed. Precondition: the loop and the budget outlive the connection.
    CallerConnection(EventLoop &loop, int socket, const CallerConnectionLimits &limits, CallerConnectionEvents events, BufferBudget *budget = nullptr);
    ~CallerConnection();
    CallerConnection(const CallerConnection &) = delete;
    CallerConnection &operator=(const CallerConnection &) = delete;

    /// Puts other limits in force, for the next request and for the time until it. A request that is being read or answered keeps the limits that
    /// were in force as it began. A shorter time between requests counts from now on, so that a caller that goes by the one before finds the
    /// connection open.
    void setLimits(const CallerConnectionLimits &limits);

    /// Sends a complete answer. Precondition: a request is unanswered and no head was sent.
    void respond(int status, std::string_view reason, HttpHeaders headers, std::string_view body);

    /// Sends the head of an answer whose body follows in sendBodyData() calls. Precondition: as for respond().
    void beginAnswer(int status, std::string_view reason, HttpHeaders headers);

    /// Sends a part of the body. Precondition: beginAnswer() was called.
    void sendBodyData(std::string_view data);

    /// Completes the answer. Precondition: beginAnswer() was called.
    void endAnswer();

    /// Closes the connection without completing the answer, so that the caller detects the truncation.
    void abortAnswer();

    /// Closes the connection after the current answer, or now if it is idle. No further request is read.
    void closeWhenIdle();

    /// Adds "Connection: close" to the head of the current answer and closes the connection after that answer.
    /// Too late for the header if the head was sent.
    void announceClose();

    /// True while the caller reads more slowly than data is sent: the sender stops until onDrained_.
    bool isCongested() const;

    /// True if no request is being read or answered.
    bool isIdle() const;

private:
    enum class State {
        Reading,
        Answering,
        Closing, ///< Flushes the output, then discards input until the caller closes.
        Closed,
    };

    static void onReadable(bufferevent *buffer, void *self);
    static void onWritten(bufferevent *buffer, void *self);
    static void onEvent(bufferevent *buffer, short what, void *self);

    RequestParserEvents parserEvents();
    bool handleHead(RequestHead head);
    bool handleBody(std::string_view data);
    void readAvailable();
    void handleWritten();
    void handleBodyRevoked();
    void beginRequest();
    void refuse(int status);
    void write(std::string_view bytes);
    void finishAnswer();
    void beginClosing();
    void closeNow();
    void close(bool isAnswerLost);
    void handleDisconnect();
    void handleTimeout();
    void awaitRequest();
    void beginIdleTime();
    void startIdleTimer(MonotonicTime now);

    EventLoop &loop_;

    /// The limits in force.
    CallerConnectionLimits limits_;

    /// The limits that were in force as the present request began.
    CallerConnectionLimits requestLimits_;

    /// Since when the connection has been idle, and until when it may be. Valid while it is idle.
    MonotonicTime idleSince_;
    MonotonicTime idleUntil_;
    CallerConnectionEvents events_;
    std::unique_ptr<bufferevent, BufferEventDeleter> buffer_;
    CallerBuffers buffers_;
    RequestParser parser_;
    Timer timer_;
    State state_ = State::Reading;
    std::optional<CallerRequest> request_;
    int refusalStatus_ = 0;
    /// 1 from the first byte of a request until it is complete, otherwise 0.
    std::size_t requestsBeingRead_ = 0;
    bool isRequestComplete_ = false;
    bool closesAfterAnswer_ = false;
    bool isHeadRequest_ = false;
    bool isBodyless_ = false;

    /// The caller is to be told, or its next request read, once it has read most of what was sent.
    bool awaitsDrain_ = false;
};

} // namespace cowsliphead
