#include "http1/callerconnection.h"

#include <algorithm>

#include <sys/socket.h>

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>

#include "core/systemclock.h"
#include "http/httpstatus.h"
#include "http1/connectionheaders.h"
#include "http1/messagewriter.h"
#include "http1/socketoptions.h"
#include "task/eventloop.h"

namespace cowsliphead
{

namespace
{

/// The connection fails once the caller has acknowledged nothing for this long.
constexpr std::chrono::milliseconds DeadPeerTimeout{ 6000 };

/// How long a closing connection waits for the caller to read the last answer and close its end. It is reset afterwards.
constexpr std::chrono::milliseconds LingerTimeout{ 1000 };

/// Queued answer bytes from which the sender is asked to wait for the caller.
constexpr std::size_t CongestedBytes = std::size_t(64) << 10U;

/// Queued answer bytes at which the sender may continue.
constexpr std::size_t DrainedBytes = std::size_t(16) << 10U;

/// Limit for queued answer bytes, above the longest whole answer. Beyond it the connection is closed.
constexpr std::size_t MaxUnsentBytes = std::size_t(16) << 20U;

/// Bytes after the current request that are read ahead.
constexpr std::size_t MaxReadAhead = std::size_t(64) << 10U;

/// Until when a caller returns whose request found no room.
constexpr const char *RetryDelaySeconds = "0.5";

constexpr int RequestHeadTooLarge = 431;

} // namespace

CallerConnection::CallerConnection(EventLoop &loop, int socket, const CallerConnectionLimits &limits, CallerConnectionEvents events, BufferBudget *budget)
    : loop_(loop)
    , limits_(limits)
    , events_(std::move(events))
    , buffer_(bufferevent_socket_new(loop.base(), socket, BEV_OPT_CLOSE_ON_FREE))
    , buffers_(
          buffer_.get(), budget, [this] { handleBodyRevoked(); }, [this] { handleDisconnect(); })
    , parser_(parserEvents())
    , timer_(loop, [this] { handleTimeout(); })
{
    enableDeadPeerDetection(socket, DeadPeerTimeout);
    limitKernelBuffers(socket);
    bufferevent_setwatermark(buffer_.get(), EV_READ, 0, MaxReadAhead);
    bufferevent_setwatermark(buffer_.get(), EV_WRITE, DrainedBytes, 0);
    bufferevent_setcb(buffer_.get(), &CallerConnection::onReadable, &CallerConnection::onWritten, &CallerConnection::onEvent, this);
    bufferevent_enable(buffer_.get(), EV_READ | EV_WRITE);
    beginIdleTime();
}

CallerConnection::~CallerConnection() = default;

RequestParserEvents CallerConnection::parserEvents()
{
    return {
        .onHead_ = [this](RequestHead head) { return handleHead(std::move(head)); },
        .onBody_ = [this](std::string_view data) { return handleBody(data); },
        .onComplete_ =
            [this] {
                isRequestComplete_ = true;
                return true;
            },
    };
}

void CallerConnection::setLimits(const CallerConnectionLimits &limits)
{
    limits_ = limits;
    if (isIdle()) {
        const auto now = SystemClock().now();
        idleUntil_ = std::max(idleSince_ + limits_.idleTimeout_, std::min(idleUntil_, now + limits_.idleTimeout_));
        startIdleTimer(now);
    }
}

void CallerConnection::beginIdleTime()
{
    idleSince_ = SystemClock().now();
    idleUntil_ = idleSince_ + limits_.idleTimeout_;
    startIdleTimer(idleSince_);
}

void CallerConnection::startIdleTimer(MonotonicTime now)
{
    timer_.startOnce(std::max(std::chrono::microseconds(0), std::chrono::ceil<std::chrono::microseconds>(idleUntil_ - now)));
}

bool CallerConnection::isIdle() const
{
    return state_ == State::Reading && requestsBeingRead_ == 0;
}

void CallerConnection::onReadable(bufferevent * /*buffer*/, void *self)
{
    static_cast<CallerConnection *>(self)->readAvailable();
}

void CallerConnection::onWritten(bufferevent * /*buffer*/, void *self)
{
    static_cast<CallerConnection *>(self)->handleWritten();
}

void CallerConnection::handleWritten()
{
    if (state_ == State::Closing && buffers_.unsentBytes() == 0) {
        shutdown(bufferevent_getfd(buffer_.get()), SHUT_WR);
        timer_.startOnce(LingerTimeout);
    }
    if (!std::exchange(awaitsDrain_, false)) {
        return;
    }
    if (state_ == State::Answering) {
        events_.onDrained_();
    } else if (state_ == State::Reading) {
        readAvailable();
    }
}

bool CallerConnection::isCongested() const
{
    return awaitsDrain_;
}

void CallerConnection::handleBodyRevoked()
{
    if (state_ == State::Reading && request_) {
        refuse(httpstatus::ServiceUnavailable);
    }
}

void CallerConnection::onEvent(bufferevent * /*buffer*/, short what, void *self)
{
    if ((what & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) != 0) {
        static_cast<CallerConnection *>(self)->handleDisconnect();
    }
}

void CallerConnection::handleDisconnect()
{
    close(state_ == State::Answering);
}

void CallerConnection::closeNow()
{
    close(false);
}

void CallerConnection::close(bool isAnswerLost)
{
    if (state_ == State::Closed) {
        return;
    }
    state_ = State::Closed;
    timer_.cancel();
    bufferevent_disable(buffer_.get(), EV_READ | EV_WRITE);
    // The receiver destroys what it was sending, and this may run within a call of the sender.
    loop_.defer([events = events_, isAnswerLost] {
        if (isAnswerLost) {
            events.onDisconnected_();
        }
        events.onClosed_();
    });
}

void CallerConnection::beginRequest()
{
    requestsBeingRead_ = 1;
    requestLimits_ = limits_;
    timer_.startOnce(requestLimits_.headTimeout_);
}

void CallerConnection::readAvailable()
{
    evbuffer *input = bufferevent_get_input(buffer_.get());
    if (state_ == State::Closing || state_ == State::Closed) {
        evbuffer_drain(input, evbuffer_get_length(input));
        return;
    }
    while (state_ == State::Reading && evbuffer_get_length(input) > 0) {
        if (requestsBeingRead_ == 0) {
            if (buffers_.unsentBytes() > CongestedBytes) {
                // The caller reads its answers before it gets another.
                awaitsDrain_ = true;
                return;
            }
            beginRequest();
        }
        const auto size = evbuffer_get_contiguous_space(input);
        const auto *bytes = reinterpret_cast<const char *>(evbuffer_pullup(input, static_cast<ev_ssize_t>(size)));
        std::size_t consumed = 0;
        const auto outcome = parser_.parse({ bytes, size }, consumed);
        evbuffer_drain(input, consumed);
        if (state_ == State::Closed) {
            return;
        }
        if (outcome == ParseOutcome::Malformed) {
            refuse(httpstatus::BadRequest);
        } else if (outcome == ParseOutcome::Stopped) {
            refuse(refusalStatus_);
        } else if (!request_ && parser_.headSize() > requestLimits_.maxHeadBytes_) {
            refuse(RequestHeadTooLarge);
        } else if (isRequestComplete_) {
            isRequestComplete_ = false;
            requestsBeingRead_ = 0;
            timer_.cancel();
            state_ = State::Answering;
            buffers_.bodyComplete();
            events_.onRequest_(std::move(*std::exchange(request_, std::nullopt)));
        } else if (request_) {
            timer_.startOnce(requestLimits_.idleTimeout_);
        }
    }
}

bool CallerConnection::handleHead(RequestHead head)
{
    if (parser_.headSize() > requestLimits_.maxHeadBytes_ || totalHeaderSize(head.headers_) > requestLimits_.maxHeadBytes_) {
        refusalStatus_ = RequestHeadTooLarge;
        return false;
    }
    if (declaredContentLength(head.headers_) > requestLimits_.maxBodyBytes_) {
        refusalStatus_ = httpstatus::PayloadTooLarge;
        return false;
    }
    if (!hasValidHost(head.headers_)) {
        refusalStatus_ = httpstatus::BadRequest;
        return false;
    }
    closesAfterAnswer_ = closesAfterAnswer_ || hasConnectionClose(head.headers_);
    isHeadRequest_ = head.method_ == "HEAD";
    if (expectsContinue(head.headers_)) {
        write("HTTP/1.1 100 Continue\r\n\r\n");
    }
    request_ = CallerRequest{ std::move(head), {}, SystemClock().now() };
    return true;
}

bool CallerConnection::handleBody(std::string_view data)
{
    if (request_->body_.size() + data.size() > requestLimits_.maxBodyBytes_) {
        refusalStatus_ = httpstatus::PayloadTooLarge;
        return false;
    }
    request_->body_.append(data);
    buffers_.setBody(request_->body_.capacity());
    return true;
}

void CallerConnection::refuse(int status)
{
    request_.reset();
    buffers_.setBody(0);
    closesAfterAnswer_ = true;
    state_ = State::Answering;
    HttpHeaders headers;
    if (status == httpstatus::ServiceUnavailable) {
        headers.emplace_back("Retry-After", RetryDelaySeconds);
    }
    respond(status, reasonPhrase(status), std::move(headers), {});
    events_.onRequestRefused_(status);
}

void CallerConnection::handleTimeout()
{
    if (state_ == State::Reading && requestsBeingRead_ > 0) {
        refuse(httpstatus::RequestTimeout);
    } else {
        closeNow();
    }
}

void CallerConnection::write(std::string_view bytes)
{
    if (state_ == State::Closed) {
        return;
    }
    bufferevent_write(buffer_.get(), bytes.data(), bytes.size());
    if (buffers_.unsentBytes() > MaxUnsentBytes) {
        handleDisconnect();
    } else if (buffers_.unsentBytes() > CongestedBytes) {
        awaitsDrain_ = true;
    }
}

void CallerConnection::respond(int status, std::string_view reason, HttpHeaders headers, std::string_view body)
{
    headers.emplace_back("Content-Length", std::to_string(body.size()));
    if (closesAfterAnswer_) {
        headers.emplace_back("Connection", "close");
    }
    std::string bytes = responseBytes(status, reason, headers);
    if (!isHeadRequest_) {
        bytes.append(body);
    }
    write(bytes);
    finishAnswer();
}

void CallerConnection::beginAnswer(int status, std::string_view reason, HttpHeaders headers)
{
    isBodyless_ = isHeadRequest_ || status == httpstatus::NoContent || status == httpstatus::NotModified;
    if (!isBodyless_) {
        headers.emplace_back("Transfer-Encoding", "chunked");
    }
    if (closesAfterAnswer_) {
        headers.emplace_back("Connection", "close");
    }
    write(responseBytes(status, reason, headers));
}

void CallerConnection::sendBodyData(std::string_view data)
{
    if (!isBodyless_ && !data.empty()) {
        write(chunkBytes(data));
    }
}

void CallerConnection::endAnswer()
{
    if (!isBodyless_) {
        write(LastChunk);
    }
    finishAnswer();
}

void CallerConnection::abortAnswer()
{
    closeNow();
}

void CallerConnection::finishAnswer()
{
    if (state_ != State::Answering) {
        return;
    }
    buffers_.requestAnswered();
    if (closesAfterAnswer_) {
        beginClosing();
    } else {
        awaitRequest();
    }
}

void CallerConnection::beginClosing()
{
    state_ = State::Closing;
    if (buffers_.unsentBytes() == 0) {
        shutdown(bufferevent_getfd(buffer_.get()), SHUT_WR);
        timer_.startOnce(LingerTimeout);
    } else {
        timer_.startOnce(limits_.idleTimeout_);
    }
}

void CallerConnection::awaitRequest()
{
    state_ = State::Reading;
    beginIdleTime();
    if (evbuffer_get_length(bufferevent_get_input(buffer_.get())) > 0) {
        // Read a pipelined request in a later iteration of the loop, after the callbacks of the current one have returned.
        bufferevent_trigger(buffer_.get(), EV_READ, static_cast<int>(BEV_OPT_DEFER_CALLBACKS) | static_cast<int>(BEV_TRIG_IGNORE_WATERMARKS));
    }
}

void CallerConnection::announceClose()
{
    closesAfterAnswer_ = true;
}

void CallerConnection::closeWhenIdle()
{
    closesAfterAnswer_ = true;
    if (isIdle()) {
        beginClosing();
    }
}

} // namespace cowsliphead
