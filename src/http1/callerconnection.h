#pragma once

#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "http/httpheaders.h"
#include "http1/buffereventdeleter.h"
#include "http1/callerconnectionevents.h"
#include "http1/callerconnectionlimits.h"
#include "http1/requestparser.h"
#include "task/timer.h"

namespace cowsliphead
{

class EventLoop;

/// A caller's connection: reads one request at a time and writes its answer.
class CallerConnection
{
public:
    /// Takes over the socket. Precondition: the loop outlives the connection. Thread safety: the loop's task only.
    CallerConnection(EventLoop &loop, int socket, const CallerConnectionLimits &limits, CallerConnectionEvents events);
    ~CallerConnection();
    CallerConnection(const CallerConnection &) = delete;
    CallerConnection &operator=(const CallerConnection &) = delete;

    /// Answers with a whole body. Precondition: a request is unanswered and no head was sent. Thread safety: the loop's task only.
    void respond(int status, std::string_view reason, HttpHeaders headers, std::string_view body);

    /// Begins an answer whose body follows in pieces. Precondition: as respond(). Thread safety: the loop's task only.
    void beginAnswer(int status, std::string_view reason, HttpHeaders headers);

    /// Precondition: beginAnswer() was called. Thread safety: the loop's task only.
    void sendBodyData(std::string_view data);

    /// Completes an answer that was begun. Thread safety: the loop's task only.
    void endAnswer();

    /// Cuts the answer short, so that it cannot look complete. Thread safety: the loop's task only.
    void abortAnswer();

    /// No further request is read once the one in hand is answered; an idle connection is closed. Thread safety: the loop's task only.
    void closeWhenIdle();

    /// The answer in hand announces that the connection closes after it. Thread safety: the loop's task only.
    void announceClose();

    /// Thread safety: the loop's task only.
    bool isIdle() const;

private:
    enum class State {
        Reading,
        Answering,
        Closing, ///< Writes out what is left, then reads until the caller closes.
        Closed,
    };

    static void onReadable(bufferevent *events, void *self);
    static void onWritten(bufferevent *events, void *self);
    static void onEvent(bufferevent *events, short what, void *self);

    RequestParserEvents parserEvents();
    bool takeHead(RequestHead head);
    bool takeBody(std::string_view data);
    void readAvailable();
    void requestBegins();
    void refuse(int status);
    void write(std::string_view bytes);
    void answered();
    void beginClosing();
    void closed();
    void left();
    void timedOut();
    void awaitRequest();

    EventLoop &loop_;
    CallerConnectionLimits limits_;
    CallerConnectionEvents events_;
    std::unique_ptr<bufferevent, BufferEventDeleter> buffer_;
    RequestParser parser_;
    Timer timer_;
    State state_ = State::Reading;
    std::optional<CallerRequest> request_;
    int refusal_ = 0;
    std::size_t bytesOfRequest_ = 0;
    bool isRequestWhole_ = false;
    bool closesAfterAnswer_ = false;
    bool isHeadRequest_ = false;
    bool isBodyless_ = false;
};

} // namespace cowsliphead
