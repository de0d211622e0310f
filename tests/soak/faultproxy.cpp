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

constexpr auto DelayTime = 150ms;

void resetOnClose(int socket)
{
    const linger hard{ 1, 0 };
    setsockopt(socket, SOL_SOCKET, SO_LINGER, &hard, sizeof hard);
}

} // namespace

struct FaultProxy::Pair {
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
        resetOnClose(socket);
        close(socket);
        return;
    }
    const auto pair = std::make_shared<Pair>();
    pair->proxy_ = this;
    pair->number_ = ++nextPair_;
    pair->caller_.reset(bufferevent_socket_new(loop_.base(), socket, BEV_OPT_CLOSE_ON_FREE));
    pair->server_.reset(bufferevent_socket_new(loop_.base(), -1, BEV_OPT_CLOSE_ON_FREE));
    for (auto *events : { pair->caller_.get(), pair->server_.get() }) {
        bufferevent_setcb(events, &FaultProxy::onReadable, nullptr, &FaultProxy::onEvent, pair.get());
        bufferevent_enable(events, EV_READ | EV_WRITE);
    }
    pairs_[pair->number_] = pair;
    sockaddr_in name{};
    name.sin_family = AF_INET;
    name.sin_port = htons(target_);
    name.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    if (bufferevent_socket_connect(pair->server_.get(), reinterpret_cast<const sockaddr *>(&name), sizeof name) != 0) {
        pairs_.erase(pair->number_);
    }
}

void FaultProxy::onReadable(bufferevent *events, void *self)
{
    auto &pair = *static_cast<Pair *>(self);
    pair.proxy_->pass(pair, events);
}

void FaultProxy::onEvent(bufferevent * /*events*/, short what, void *self)
{
    auto &pair = *static_cast<Pair *>(self);
    const bool hasEnded = (what & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) != 0;
    if (!hasEnded || pair.isSilent_ || pair.proxy_->fault_ == Fault::Silence) {
        return;
    }
    // What was passed on is written out before the end is.
    const auto kept = pair.proxy_->pairs_[pair.number_];
    pair.proxy_->pairs_.erase(pair.number_);
    for (auto *side : { kept->caller_.get(), kept->server_.get() }) {
        bufferevent_setcb(side, nullptr, nullptr, nullptr, nullptr);
        bufferevent_flush(side, EV_WRITE, BEV_FLUSH);
    }
    pair.proxy_->loop_.defer([kept] {});
}

void FaultProxy::pass(Pair &pair, bufferevent *from)
{
    auto *to = from == pair.caller_.get() ? pair.server_.get() : pair.caller_.get();
    evbuffer *input = bufferevent_get_input(from);
    const bool isLost = pair.isSilent_ || fault_ == Fault::Silence || (fault_ == Fault::OneWay && to == pair.caller_.get());
    if (isLost) {
        // Whatever comes later would be out of place: the connection stays silent.
        pair.isSilent_ = true;
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
    *timer = std::make_unique<Timer>(loop_, [weak = std::weak_ptr(pairs_.at(pair.number_)), to, bytes, timer, this] {
        if (weak.lock()) {
            bufferevent_write(to, bytes.data(), bytes.size());
        }
        loop_.defer([timer] { timer->reset(); });
    });
    (*timer)->startOnce(DelayTime);
}

void FaultProxy::set(Fault fault)
{
    fault_ = fault;
    if (fault == Fault::Refuse) {
        resetAll();
    }
}

void FaultProxy::resetAll()
{
    for (const auto &[number, pair] : pairs_) {
        resetOnClose(bufferevent_getfd(pair->caller_.get()));
    }
    pairs_.clear();
}

void FaultProxy::silenceOpenConnections()
{
    for (const auto &[number, pair] : pairs_) {
        pair->isSilent_ = true;
    }
}
