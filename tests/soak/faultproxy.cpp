#include "faultproxy.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>

#include "http1/socketaddress.h"

using namespace cowsliphead;
using namespace std::chrono_literals;

namespace
{

constexpr auto ForwardingDelay = 150ms;

void enableResetOnClose(int socket)
{
    const linger abortive{ 1, 0 };
    setsockopt(socket, SOL_SOCKET, SO_LINGER, &abortive, sizeof abortive);
}

} // namespace

struct FaultProxy::ProxiedConnection {
    FaultProxy *proxy_ = nullptr;
    std::uint64_t number_ = 0;
    std::unique_ptr<bufferevent, BufferEventDeleter> caller_;
    std::unique_ptr<bufferevent, BufferEventDeleter> server_;
    bool isSilent_ = false;
};

FaultProxy::FaultProxy(EventLoop &loop, std::uint16_t target)
    : loop_(loop)
    , target_(target)
    , listener_(loop, [this](int socket) { accept(socket); })
{
    port_ = *listener_.listen(SocketAddress{ "127.0.0.1", 0 });
}

FaultProxy::~FaultProxy() = default;

void FaultProxy::accept(int socket)
{
    if (fault_ == Fault::Refuse) {
        enableResetOnClose(socket);
        close(socket);
        return;
    }
    const auto connection = std::make_shared<ProxiedConnection>();
    connection->proxy_ = this;
    connection->number_ = ++lastConnectionNumber_;
    connection->caller_.reset(bufferevent_socket_new(loop_.base(), socket, BEV_OPT_CLOSE_ON_FREE));
    connection->server_.reset(bufferevent_socket_new(loop_.base(), -1, BEV_OPT_CLOSE_ON_FREE));
    for (auto *events : { connection->caller_.get(), connection->server_.get() }) {
        bufferevent_setcb(events, &FaultProxy::onReadable, nullptr, &FaultProxy::onEvent, connection.get());
        bufferevent_enable(events, EV_READ | EV_WRITE);
    }
    proxiedConnections_[connection->number_] = connection;
    sockaddr_in name{};
    name.sin_family = AF_INET;
    name.sin_port = htons(target_);
    name.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    if (bufferevent_socket_connect(connection->server_.get(), reinterpret_cast<const sockaddr *>(&name), sizeof name) != 0) {
        proxiedConnections_.erase(connection->number_);
    }
}

void FaultProxy::onReadable(bufferevent *events, void *self)
{
    auto &connection = *static_cast<ProxiedConnection *>(self);
    connection.proxy_->forward(connection, events);
}

void FaultProxy::onEvent(bufferevent * /*events*/, short what, void *self)
{
    auto &connection = *static_cast<ProxiedConnection *>(self);
    const bool hasEnded = (what & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) != 0;
    if (!hasEnded || connection.isSilent_ || connection.proxy_->fault_ == Fault::Silence) {
        return;
    }
    // Flushes the forwarded data before both sides are closed.
    const auto kept = connection.proxy_->proxiedConnections_[connection.number_];
    connection.proxy_->proxiedConnections_.erase(connection.number_);
    for (auto *side : { kept->caller_.get(), kept->server_.get() }) {
        bufferevent_setcb(side, nullptr, nullptr, nullptr, nullptr);
        bufferevent_flush(side, EV_WRITE, BEV_FLUSH);
    }
    connection.proxy_->loop_.defer([kept] {});
}

void FaultProxy::forward(ProxiedConnection &connection, bufferevent *from)
{
    auto *to = from == connection.caller_.get() ? connection.server_.get() : connection.caller_.get();
    evbuffer *input = bufferevent_get_input(from);
    const bool isDropped = connection.isSilent_ || fault_ == Fault::Silence || (fault_ == Fault::OneWay && to == connection.caller_.get());
    if (isDropped) {
        // Later data would follow a gap in the stream, so the connection stays silent from now on.
        connection.isSilent_ = true;
        evbuffer_drain(input, evbuffer_get_length(input));
        return;
    }
    if (fault_ != Fault::Delay) {
        bufferevent_write_buffer(to, input);
        return;
    }
    std::string bytes(evbuffer_get_length(input), '\0');
    evbuffer_remove(input, bytes.data(), bytes.size());
    const auto timer = std::make_shared<std::unique_ptr<Timer>>();
    *timer = std::make_unique<Timer>(loop_, [weak = std::weak_ptr(proxiedConnections_.at(connection.number_)), to, bytes, timer, this] {
        if (weak.lock()) {
            bufferevent_write(to, bytes.data(), bytes.size());
        }
        loop_.defer([timer] { timer->reset(); });
    });
    (*timer)->startOnce(ForwardingDelay);
}

void FaultProxy::setFault(Fault fault)
{
    fault_ = fault;
    if (fault == Fault::Refuse) {
        resetConnections();
    }
}

void FaultProxy::resetConnections()
{
    for (const auto &[number, connection] : proxiedConnections_) {
        enableResetOnClose(bufferevent_getfd(connection->caller_.get()));
    }
    proxiedConnections_.clear();
}

void FaultProxy::silenceOpenConnections()
{
    for (const auto &[number, connection] : proxiedConnections_) {
        connection->isSilent_ = true;
    }
}
