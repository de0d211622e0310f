#include "http1/callerconnection.h"

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

/// How long a caller that acknowledges nothing keeps its connection.
constexpr std::chrono::milliseconds SilenceTimeout{ 6000 };

/// How long a closing connection waits for the caller to read the last answer before it is reset.
constexpr std::chrono::milliseconds LingerTimeout{ 1000 };

/// More unread answer bytes than this end the connection: the caller does not read.
constexpr std::size_t MostUnsentBytes = std::size_t(8) << 20U;

constexpr int RequestHeadTooLarge = 431;

} // namespace

CallerConnection::CallerConnection(EventLoop &loop, int socket, const CallerConnectionLimits &limits, CallerConnectionEvents events)
    : loop_(loop)
    , limits_(limits)
    , events_(std::move(events))
    , buffer_(bufferevent_socket_new(loop.base(), socket, BEV_OPT_CLOSE_ON_FREE))
    , parser_(parserEvents())
    , timer_(loop, [this] { timedOut(); })
{
    detectSilence(socket, SilenceTimeout);
    bufferevent_setcb(buffer_.get(), &CallerConnection::onReadable, &CallerConnection::onWritten, &CallerConnection::onEvent, this);
    bufferevent_enable(buffer_.get(), EV_READ | EV_WRITE);
    timer_.startOnce(limits_.idleTimeout_);
}

CallerConnection::~CallerConnection() = default;

RequestParserEvents CallerConnection::parserEvents()
{
    return {
        .onHead_ = [this](RequestHead head) { return takeHead(std::move(head)); },
        .onBody_ = [this](std::string_view data) { return takeBody(data); },
        .onComplete_ =
            [this] {
                isRequestWhole_ = true;
                return true;
            },
    };
}

bool CallerConnection::isIdle() const
{
    return state_ == State::Reading && bytesOfRequest_ == 0;
}

void CallerConnection::onReadable(bufferevent * /*events*/, void *self)
{
    static_cast<CallerConnection *>(self)->readAvailable();
}

void CallerConnection::onWritten(bufferevent * /*events*/, void *self)
{
    auto &connection = *static_cast<CallerConnection *>(self);
    if (connection.state_ == State::Closing) {
        shutdown(bufferevent_getfd(connection.buffer_.get()), SHUT_WR);
    }
}

void CallerConnection::onEvent(bufferevent * /*events*/, short what, void *self)
{
    if ((what & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) != 0) {
        static_cast<CallerConnection *>(self)->left();
    }
}

void CallerConnection::left()
{
    if (state_ == State::Closed) {
        return;
    }
    const bool wasAnswering = state_ == State::Answering;
    closed();
    if (wasAnswering) {
        events_.onDisconnected_();
    }
}

void CallerConnection::closed()
{
    if (state_ == State::Closed) {
        return;
    }
    state_ = State::Closed;
    timer_.cancel();
    bufferevent_disable(buffer_.get(), EV_READ | EV_WRITE);
    loop_.defer([onClosed = events_.onClosed_] { onClosed(); });
}

void CallerConnection::requestBegins()
{
    bytesOfRequest_ = 1;
    timer_.startOnce(limits_.headTimeout_);
}

void CallerConnection::readAvailable()
{
    evbuffer *input = bufferevent_get_input(buffer_.get());
    if (state_ == State::Closing || state_ == State::Closed) {
        evbuffer_drain(input, evbuffer_get_length(input));
        return;
    }
    while (state_ == State::Reading && evbuffer_get_length(input) > 0) {
        if (bytesOfRequest_ == 0) {
            requestBegins();
        }
        const auto size = evbuffer_get_contiguous_space(input);
        const auto *bytes = reinterpret_cast<const char *>(evbuffer_pullup(input, static_cast<ev_ssize_t>(size)));
        std::size_t taken = 0;
        const auto outcome = parser_.parse({ bytes, size }, taken);
        evbuffer_drain(input, taken);
        if (outcome == ParseOutcome::Malformed) {
            refuse(httpstatus::BadRequest);
        } else if (outcome == ParseOutcome::Stopped) {
            refuse(refusal_);
        } else if (!request_ && parser_.headSize() > limits_.maxHeadBytes_) {
            refuse(RequestHeadTooLarge);
        } else if (isRequestWhole_) {
            isRequestWhole_ = false;
            bytesOfRequest_ = 0;
            timer_.cancel();
            state_ = State::Answering;
            events_.onRequest_(std::move(*std::exchange(request_, std::nullopt)));
        } else if (request_) {
            timer_.startOnce(limits_.idleTimeout_);
        }
    }
}

bool CallerConnection::takeHead(RequestHead head)
{
    if (parser_.headSize() > limits_.maxHeadBytes_ || headSizeOf(head.headers_) > limits_.maxHeadBytes_) {
        refusal_ = RequestHeadTooLarge;
        return false;
    }
    if (announcedBodySize(head.headers_) > limits_.maxBodyBytes_) {
        refusal_ = httpstatus::PayloadTooLarge;
        return false;
    }
    if (!isSoundHost(head.headers_)) {
        refusal_ = httpstatus::BadRequest;
        return false;
    }
    closesAfterAnswer_ = closesAfterAnswer_ || asksToClose(head.headers_);
    isHeadRequest_ = head.method_ == "HEAD";
    if (expectsContinue(head.headers_)) {
        write("HTTP/1.1 100 Continue\r\n\r\n");
    }
    request_ = CallerRequest{ std::move(head), {}, SystemClock().now() };
    return true;
}

bool CallerConnection::takeBody(std::string_view data)
{
    if (request_->body_.size() + data.size() > limits_.maxBodyBytes_) {
        refusal_ = httpstatus::PayloadTooLarge;
        return false;
    }
    request_->body_.append(data);
    return true;
}

void CallerConnection::refuse(int status)
{
    request_.reset();
    closesAfterAnswer_ = true;
    state_ = State::Answering;
    respond(status, reasonPhrase(status), {}, {});
    events_.onRefused_(status);
}

void CallerConnection::timedOut()
{
    if (state_ == State::Reading && bytesOfRequest_ > 0) {
        refuse(httpstatus::RequestTimeout);
    } else {
        closed();
    }
}

void CallerConnection::write(std::string_view bytes)
{
    if (state_ == State::Closed) {
        return;
    }
    bufferevent_write(buffer_.get(), bytes.data(), bytes.size());
    if (evbuffer_get_length(bufferevent_get_output(buffer_.get())) > MostUnsentBytes) {
        left();
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
    answered();
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
    answered();
}

void CallerConnection::abortAnswer()
{
    closed();
}

void CallerConnection::answered()
{
    if (state_ != State::Answering) {
        return;
    }
    if (closesAfterAnswer_) {
        beginClosing();
    } else {
        awaitRequest();
    }
}

void CallerConnection::beginClosing()
{
    state_ = State::Closing;
    timer_.startOnce(LingerTimeout);
    if (evbuffer_get_length(bufferevent_get_output(buffer_.get())) == 0) {
        shutdown(bufferevent_getfd(buffer_.get()), SHUT_WR);
    }
}

void CallerConnection::awaitRequest()
{
    state_ = State::Reading;
    timer_.startOnce(limits_.idleTimeout_);
    if (evbuffer_get_length(bufferevent_get_input(buffer_.get())) > 0) {
        // A request that was sent early is read in a turn of its own, after the one in hand has unwound.
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
