#include "http1/clientconnection.h"

#include <utility>

#include <arpa/inet.h>
#include <netinet/in.h>

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>

#include "core/systemclock.h"
#include "http1/connectionheaders.h"
#include "http1/socketoptions.h"
#include "task/eventloop.h"

namespace cowsliphead
{

namespace
{

/// How long a server that acknowledges nothing is waited for.
constexpr std::chrono::milliseconds SilenceTimeout{ 3000 };

/// Idle connections without an announced limit are kept this long; shorter than the usual server's limit of five seconds.
constexpr std::chrono::milliseconds UsualIdleLimit{ 2000 };

/// A connection is not used in the last part of the time that its server announced, so that a request does not cross the close.
constexpr std::chrono::milliseconds IdleMargin{ 700 };

constexpr int FirstFinalStatus = 200;

sockaddr_in toSocketName(const SocketAddress &address)
{
    sockaddr_in name{};
    name.sin_family = AF_INET;
    name.sin_port = htons(address.port_);
    inet_pton(AF_INET, address.host_.c_str(), &name.sin_addr);
    return name;
}

} // namespace

ClientConnection::ClientConnection(EventLoop &loop, SocketAddress address)
    : loop_(loop)
    , address_(std::move(address))
    , parser_({
          .onHead_ = [this](const ResponseHead &head) { return takeHead(head); },
          .onBody_ = [this](std::string_view data) { return takeData(data); },
      })
    , connectTimer_(loop, [this] { fail(ConnectionFailure::NotConnected); })
{
}

ClientConnection::~ClientConnection() = default;

bool ClientConnection::isReusable(MonotonicTime now) const
{
    return state_ == State::Open && !isAwaiting_ && mayReuse_ && now < idleUntil_;
}

void ClientConnection::begin(ClientConnectionEvents events, std::chrono::milliseconds connectTimeout)
{
    events_ = std::make_shared<ClientConnectionEvents>(std::move(events));
    isAwaiting_ = true;
    isWritten_ = false;
    use_ = AnswerHandling::Accept;
    if (state_ == State::New) {
        connect(connectTimeout);
        return;
    }
    loop_.defer([weak = weak_from_this()] {
        if (const auto self = weak.lock(); self && self->state_ == State::Open && self->isAwaiting_) {
            const auto events = self->events_;
            events->onOpen_();
        }
    });
}

void ClientConnection::connect(std::chrono::milliseconds timeout)
{
    state_ = State::Connecting;
    connectTimer_.startOnce(timeout);
    buffer_.reset(bufferevent_socket_new(loop_.base(), -1, BEV_OPT_CLOSE_ON_FREE | BEV_OPT_DEFER_CALLBACKS));
    bufferevent_setcb(buffer_.get(), &ClientConnection::onReadable, nullptr, &ClientConnection::onEvent, this);
    const auto name = toSocketName(address_);
    if (bufferevent_socket_connect(buffer_.get(), reinterpret_cast<const sockaddr *>(&name), sizeof name) != 0) {
        loop_.defer([weak = weak_from_this()] {
            if (const auto self = weak.lock()) {
                self->fail(ConnectionFailure::NotConnected);
            }
        });
    }
}

void ClientConnection::write(std::string_view bytes)
{
    isWritten_ = true;
    bufferevent_write(buffer_.get(), bytes.data(), bytes.size());
}

void ClientConnection::close()
{
    if (state_ == State::Closed) {
        return;
    }
    state_ = State::Closed;
    connectTimer_.cancel();
    // The events may own this connection, and the buffer may be calling back: both go in a later turn.
    const std::shared_ptr<bufferevent> buffer(buffer_.release(), BufferEventDeleter());
    if (buffer) {
        bufferevent_setcb(buffer.get(), nullptr, nullptr, nullptr, nullptr);
        bufferevent_disable(buffer.get(), EV_READ | EV_WRITE);
    }
    loop_.defer([events = std::exchange(events_, nullptr), buffer] {});
}

void ClientConnection::onReadable(bufferevent * /*events*/, void *self)
{
    const auto connection = static_cast<ClientConnection *>(self)->shared_from_this();
    connection->readAvailable();
}

void ClientConnection::onEvent(bufferevent * /*events*/, short what, void *self)
{
    const auto connection = static_cast<ClientConnection *>(self)->shared_from_this();
    if ((what & BEV_EVENT_CONNECTED) != 0) {
        connection->opened();
    } else {
        connection->ended(what);
    }
}

void ClientConnection::opened()
{
    if (state_ != State::Connecting) {
        return;
    }
    connectTimer_.cancel();
    state_ = State::Open;
    detectSilence(bufferevent_getfd(buffer_.get()), SilenceTimeout);
    bufferevent_enable(buffer_.get(), EV_READ | EV_WRITE);
    const auto events = events_;
    events->onOpen_();
}

void ClientConnection::readAvailable()
{
    while (state_ == State::Open) {
        evbuffer *input = bufferevent_get_input(buffer_.get());
        const auto size = evbuffer_get_contiguous_space(input);
        if (size == 0) {
            return;
        }
        if (!isAwaiting_ || !isWritten_) {
            // Bytes that no request asked for: the connection is out of step.
            mayReuse_ = false;
            if (!isAwaiting_) {
                close();
                return;
            }
            fail(ConnectionFailure::Malformed);
            return;
        }
        const auto *bytes = reinterpret_cast<const char *>(evbuffer_pullup(input, static_cast<ev_ssize_t>(size)));
        std::size_t taken = 0;
        const auto outcome = parser_.parse({ bytes, size }, taken);
        if (state_ != State::Open) {
            return;
        }
        evbuffer_drain(input, taken);
        if (outcome == ParseOutcome::Complete) {
            messageComplete();
        } else if (outcome == ParseOutcome::Malformed) {
            fail(ConnectionFailure::Malformed);
        }
    }
}

bool ClientConnection::takeHead(const ResponseHead &head)
{
    isInterim_ = head.status_ < FirstFinalStatus;
    if (isInterim_) {
        return true;
    }
    noteIdleLimit(head);
    const auto events = events_;
    use_ = events->onHead_(head);
    if (use_ == AnswerHandling::Discard) {
        mayReuse_ = false;
    }
    return state_ == State::Open;
}

void ClientConnection::noteIdleLimit(const ResponseHead &head)
{
    const auto announced = keepAliveTimeout(head.headers_);
    idleLimit_ = announced ? std::chrono::milliseconds(*announced) - IdleMargin : UsualIdleLimit;
}

bool ClientConnection::takeData(std::string_view data)
{
    if (!isInterim_ && use_ == AnswerHandling::Accept) {
        const auto events = events_;
        events->onData_(data);
    }
    return state_ == State::Open;
}

void ClientConnection::messageComplete()
{
    if (isInterim_ || use_ == AnswerHandling::Discard) {
        return;
    }
    const bool isAllWritten = evbuffer_get_length(bufferevent_get_output(buffer_.get())) == 0;
    const bool hasMore = evbuffer_get_length(bufferevent_get_input(buffer_.get())) > 0;
    mayReuse_ = mayReuse_ && parser_.keepsAlive() && isAllWritten && !hasMore;
    idleUntil_ = SystemClock().now() + idleLimit_;
    isAwaiting_ = false;
    const auto events = std::exchange(events_, nullptr);
    if (!mayReuse_) {
        close();
    }
    events->onComplete_();
}

void ClientConnection::ended(short what)
{
    if (state_ == State::Connecting) {
        fail(ConnectionFailure::NotConnected);
        return;
    }
    const bool isCleanEnd = (what & BEV_EVENT_EOF) != 0 && (what & BEV_EVENT_ERROR) == 0;
    if (isAwaiting_ && isWritten_ && isCleanEnd && parser_.finish() == ParseOutcome::Complete && !isInterim_ && use_ == AnswerHandling::Accept) {
        mayReuse_ = false;
        messageComplete();
        return;
    }
    fail(ConnectionFailure::Closed);
}

void ClientConnection::fail(ConnectionFailure failure)
{
    if (state_ == State::Closed) {
        return;
    }
    const auto events = events_;
    const bool wasAwaiting = std::exchange(isAwaiting_, false);
    close();
    if (wasAwaiting && events) {
        events->onFailed_(failure);
    }
}

} // namespace cowsliphead
