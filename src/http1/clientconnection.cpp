#include "http1/clientconnection.h"

#include <algorithm>
#include <utility>

#include <arpa/inet.h>
#include <netinet/in.h>

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>

#include "core/systemclock.h"
#include "http/connectionend.h"
#include "http1/connectionheaders.h"
#include "http1/socketoptions.h"
#include "task/eventloop.h"

namespace cowsliphead
{

namespace
{

/// The connection fails once the server has acknowledged nothing for this long.
constexpr std::chrono::milliseconds DeadPeerTimeout{ 3000 };

/// Idle timeout if the server announces none. Shorter than the five seconds that are usual for servers.
constexpr std::chrono::milliseconds DefaultIdleTimeout{ 2000 };

/// Subtracted from the keep-alive timeout that the server announces, so that no request is sent while the server is closing.
constexpr std::chrono::milliseconds IdleTimeoutMargin{ 700 };

constexpr int FirstFinalStatus = 200;

/// Limit on the bytes of heads, interim responses, answers to other requests and framing for one request. A faulty server may send such
/// bytes without end.
constexpr std::size_t MaxExtraBytes = 4U << 20U;

sockaddr_in toSockaddr(const SocketAddress &address)
{
    sockaddr_in name{};
    name.sin_family = AF_INET;
    name.sin_port = htons(address.port_);
    inet_pton(AF_INET, address.host_.c_str(), &name.sin_addr);
    return name;
}

} // namespace

ClientConnection::ClientConnection(EventLoop &loop, SocketAddress address, BufferBudget *budget)
    : loop_(loop)
    , address_(std::move(address))
    , parser_({
          .onHead_ = [this](const ResponseHead &head) { return handleHead(head); },
          .onBody_ = [this](std::string_view data) { return handleBody(data); },
      })
    , connectTimer_(loop, [this] { fail(ConnectionFailure::NotConnected); })
{
    if (budget != nullptr) {
        share_.emplace(*budget, [this] { fail(ConnectionFailure::OverBudget); });
    }
}

ClientConnection::~ClientConnection() = default;

bool ClientConnection::isReusable(MonotonicTime now) const
{
    return state_ == State::Open && !isAwaitingAnswer_ && mayReuse_ && now < reusableUntil_;
}

void ClientConnection::begin(ClientConnectionEvents events, std::chrono::milliseconds connectTimeout)
{
    events_ = std::make_shared<ClientConnectionEvents>(std::move(events));
    isAwaitingAnswer_ = true;
    isRequestWritten_ = false;
    extraBytes_ = 0;
    answerHandling_ = AnswerHandling::Accept;
    if (state_ == State::New) {
        connect(connectTimeout);
        return;
    }
    loop_.defer([weak = weak_from_this()] {
        if (const auto self = weak.lock(); self && self->state_ == State::Open && self->isAwaitingAnswer_) {
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
    bufferevent_setcb(buffer_.get(), &ClientConnection::onReadable, &ClientConnection::onWritten, &ClientConnection::onEvent, this);
    const auto name = toSockaddr(address_);
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
    isRequestWritten_ = true;
    bufferevent_write(buffer_.get(), bytes.data(), bytes.size());
    countBuffers();
}

void ClientConnection::pauseReading()
{
    if (state_ == State::Open && !std::exchange(isPaused_, true)) {
        bufferevent_disable(buffer_.get(), EV_READ);
        countBuffers();
    }
}

void ClientConnection::resumeReading()
{
    if (state_ == State::Open && std::exchange(isPaused_, false)) {
        bufferevent_enable(buffer_.get(), EV_READ);
        countBuffers();
    }
}

void ClientConnection::countBuffers()
{
    if (!share_) {
        return;
    }
    if (state_ == State::Closed) {
        share_->resize(0);
        return;
    }
    const auto unsent = evbuffer_get_length(bufferevent_get_output(buffer_.get()));
    share_->resize(unsent + parser_.headMemory() + (isPaused_ ? ReceiveBufferSize : 0));
}

void ClientConnection::close()
{
    if (state_ == State::Closed) {
        return;
    }
    state_ = State::Closed;
    countBuffers();
    connectTimer_.cancel();
    // Destroy both in a later iteration of the loop: the events may own this connection, and this may run inside a callback of the buffer.
    const std::shared_ptr<bufferevent> buffer(buffer_.release(), BufferEventDeleter());
    if (buffer) {
        bufferevent_setcb(buffer.get(), nullptr, nullptr, nullptr, nullptr);
        bufferevent_disable(buffer.get(), EV_READ | EV_WRITE);
    }
    loop_.defer([events = std::exchange(events_, nullptr), buffer] {});
}

void ClientConnection::onReadable(bufferevent * /*buffer*/, void *self)
{
    const auto connection = static_cast<ClientConnection *>(self)->shared_from_this();
    connection->readAvailable();
}

void ClientConnection::onWritten(bufferevent * /*buffer*/, void *self)
{
    static_cast<ClientConnection *>(self)->countBuffers();
}

void ClientConnection::onEvent(bufferevent * /*buffer*/, short what, void *self)
{
    const auto connection = static_cast<ClientConnection *>(self)->shared_from_this();
    if ((what & BEV_EVENT_CONNECTED) != 0) {
        connection->handleConnected();
    } else {
        connection->handleConnectionEnd(what);
    }
}

void ClientConnection::handleConnected()
{
    if (state_ != State::Connecting) {
        return;
    }
    connectTimer_.cancel();
    state_ = State::Open;
    openedAt_ = SystemClock().now();
    enableDeadPeerDetection(bufferevent_getfd(buffer_.get()), DeadPeerTimeout);
    limitKernelBuffers(bufferevent_getfd(buffer_.get()));
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
        if (!isAwaitingAnswer_ || !isRequestWritten_) {
            // Unsolicited bytes: answers can no longer be matched to requests.
            mayReuse_ = false;
            if (!isAwaitingAnswer_) {
                close();
                return;
            }
            fail(ConnectionFailure::Malformed);
            return;
        }
        const auto *bytes = reinterpret_cast<const char *>(evbuffer_pullup(input, static_cast<ev_ssize_t>(size)));
        std::size_t consumed = 0;
        extraBytes_ += size;
        const auto outcome = parser_.parse({ bytes, size }, consumed);
        if (state_ != State::Open) {
            return;
        }
        extraBytes_ -= std::min(extraBytes_, size - consumed);
        evbuffer_drain(input, consumed);
        countBuffers();
        if (extraBytes_ > MaxExtraBytes) {
            fail(ConnectionFailure::TooLong);
        } else if (outcome == ParseOutcome::Complete) {
            handleMessageComplete();
        } else if (outcome == ParseOutcome::Malformed) {
            fail(ConnectionFailure::Malformed);
        }
    }
}

bool ClientConnection::handleHead(const ResponseHead &head)
{
    isInterim_ = head.status_ < FirstFinalStatus;
    if (isInterim_) {
        return true;
    }
    updateIdleTimeout(head);
    const auto events = events_;
    answerHandling_ = events->onHead_(head);
    if (answerHandling_ == AnswerHandling::Discard) {
        mayReuse_ = false;
    }
    return state_ == State::Open;
}

void ClientConnection::updateIdleTimeout(const ResponseHead &head)
{
    const auto announced = keepAliveTimeout(head.headers_);
    idleTimeout_ = announced ? std::chrono::milliseconds(*announced) - IdleTimeoutMargin : DefaultIdleTimeout;
}

bool ClientConnection::handleBody(std::string_view data)
{
    if (!isInterim_ && answerHandling_ == AnswerHandling::Accept) {
        extraBytes_ -= std::min(extraBytes_, data.size());
        const auto events = events_;
        events->onData_(data);
    }
    return state_ == State::Open;
}

void ClientConnection::handleMessageComplete()
{
    if (isInterim_ || answerHandling_ == AnswerHandling::Discard) {
        return;
    }
    resumeReading();
    const bool isOutputEmpty = evbuffer_get_length(bufferevent_get_output(buffer_.get())) == 0;
    const bool hasUnreadInput = evbuffer_get_length(bufferevent_get_input(buffer_.get())) > 0;
    mayReuse_ = mayReuse_ && parser_.keepsAlive() && isOutputEmpty && !hasUnreadInput;
    reusableUntil_ = SystemClock().now() + idleTimeout_;
    isAwaitingAnswer_ = false;
    const auto events = std::exchange(events_, nullptr);
    if (!mayReuse_) {
        close();
    }
    events->onComplete_();
}

void ClientConnection::handleConnectionEnd(short what)
{
    if (state_ == State::Connecting) {
        fail(ConnectionFailure::NotConnected);
        return;
    }
    const bool isOrderlyEnd = (what & BEV_EVENT_EOF) != 0 && (what & BEV_EVENT_ERROR) == 0 && hasEndedInOrder(buffer_.get());
    if (isAwaitingAnswer_ && isRequestWritten_ && isOrderlyEnd && parser_.finish() == ParseOutcome::Complete && !isInterim_
        && answerHandling_ == AnswerHandling::Accept) {
        mayReuse_ = false;
        handleMessageComplete();
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
    const bool wasAwaiting = std::exchange(isAwaitingAnswer_, false);
    close();
    if (wasAwaiting && events) {
        events->onFailed_(failure);
    }
}

} // namespace cowsliphead
