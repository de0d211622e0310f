#include "rawendpoint.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <sys/socket.h>

#include "http1/socketaddress.h"

using namespace cowsliphead;

RawEndpoint::RawEndpoint(EventLoop &loop, std::vector<Script> scripts, const std::string &idField)
    : loop_(loop)
    , scripts_(std::move(scripts))
    , idField_(idField + ": ")
{
    listen(0);
}

void RawEndpoint::listen(std::uint16_t port)
{
    listener_.emplace(loop_, [this](int socket) { accept(socket); });
    port_ = *listener_->listen(SocketAddress{ "127.0.0.1", port });
}

void RawEndpoint::restart(std::uint64_t incarnation)
{
    incarnation_ = incarnation;
    listen(port_);
}

RawEndpoint::~RawEndpoint() = default;

void RawEndpoint::accept(int socket)
{
    bufferevent *events = bufferevent_socket_new(loop_.base(), socket, BEV_OPT_CLOSE_ON_FREE);
    connections_[events].reset(events);
    bufferevent_setcb(events, &RawEndpoint::onReadable, nullptr, &RawEndpoint::onEvent, this);
    bufferevent_enable(events, EV_READ | EV_WRITE);
}

void RawEndpoint::crash(std::optional<std::uint64_t> restartsAs)
{
    listener_.reset();
    connections_.clear();
    if (restartsAs) {
        restart(*restartsAs);
    }
}

void RawEndpoint::onReadable(bufferevent *events, void *self)
{
    auto &endpoint = *static_cast<RawEndpoint *>(self);
    evbuffer *input = bufferevent_get_input(events);
    if (!endpoint.scripts_.empty() && evbuffer_get_length(input) < endpoint.scripts_.front().awaitedBytes_) {
        return;
    }
    std::string bytes(evbuffer_get_length(input), '\0');
    evbuffer_remove(input, bytes.data(), bytes.size());
    endpoint.answer(events, bytes);
}

void RawEndpoint::onWritten(bufferevent *events, void *self)
{
    auto &endpoint = *static_cast<RawEndpoint *>(self);
    endpoint.loop_.defer([&endpoint, events] { endpoint.connections_.erase(events); });
}

void RawEndpoint::onWrittenBeforeReset(bufferevent *events, void *self)
{
    const linger immediately{ .l_onoff = 1, .l_linger = 0 };
    setsockopt(bufferevent_getfd(events), SOL_SOCKET, SO_LINGER, &immediately, sizeof immediately);
    auto &endpoint = *static_cast<RawEndpoint *>(self);
    // Time for the gateway to read the bytes, which a reset would discard.
    endpoint.pendingWrites_.push_back(std::make_unique<Timer>(endpoint.loop_, [&endpoint, events] { endpoint.connections_.erase(events); }));
    endpoint.pendingWrites_.back()->startOnce(std::chrono::milliseconds(50));
}

void RawEndpoint::onWrittenBeforeShutdown(bufferevent *events, void * /*self*/)
{
    shutdown(bufferevent_getfd(events), SHUT_WR);
}

void RawEndpoint::onWrittenBeforeShutdownAndClose(bufferevent *events, void *self)
{
    onWrittenBeforeShutdown(events, self);
    onWritten(events, self);
}

void RawEndpoint::onDrained(bufferevent *events, void *self)
{
    const auto &bytes = static_cast<RawEndpoint *>(self)->endlessBytes_[events];
    bufferevent_write(events, bytes.data(), bytes.size());
}

void RawEndpoint::onEvent(bufferevent *events, short /*what*/, void *self)
{
    auto &endpoint = *static_cast<RawEndpoint *>(self);
    ++endpoint.closedConnections_;
    endpoint.endlessBytes_.erase(events);
    endpoint.connections_.erase(events);
}

/// Returns false if this is another request.
bool RawEndpoint::answerStateRequest(bufferevent *events, const std::string &request)
{
    if (!incarnation_ || request.rfind("GET /api/report ", 0) != 0) {
        return false;
    }
    const auto body = "{\"born\":" + std::to_string(*incarnation_) + ",\"sequence\":1}";
    const auto bytes = "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    bufferevent_write(events, bytes.data(), bytes.size());
    return true;
}

void RawEndpoint::answer(bufferevent *events, const std::string &request)
{
    if (answerStateRequest(events, request)) {
        return;
    }
    requests_.push_back(request);
    if (scripts_.empty()) {
        return;
    }
    auto script = scripts_.front();
    if (scripts_.size() > 1) {
        scripts_.erase(scripts_.begin());
    }
    if (!script.crashesOn_.empty() && request.find(script.crashesOn_) != std::string::npos) {
        script.bytes_.pop_back();
        script.crashes_ = true;
    }
    const auto at = request.find(idField_);
    const auto id = at == std::string::npos ? std::string() : request.substr(at + idField_.size(), request.find('\r', at) - at - idField_.size());
    for (auto place = script.bytes_.find("ID"); place != std::string::npos; place = script.bytes_.find("ID")) {
        script.bytes_.replace(place, 2, id);
    }
    if (script.stopsReading_) {
        bufferevent_disable(events, EV_READ);
    }
    bufferevent_write(events, script.bytes_.data(), script.bytes_.size());
    if (!script.endlessBytes_.empty()) {
        endlessBytes_[events] = script.endlessBytes_;
        bufferevent_setcb(events, &RawEndpoint::onReadable, &RawEndpoint::onDrained, &RawEndpoint::onEvent, this);
    }
    if (!script.laterBytes_.empty()) {
        pendingWrites_.push_back(std::make_unique<Timer>(loop_, [this, events, script] {
            if (connections_.contains(events)) {
                bufferevent_write(events, script.laterBytes_.data(), script.laterBytes_.size());
                endWhenWritten(events, script);
            }
        }));
        pendingWrites_.back()->startOnce(script.pause_);
    }
    if (script.crashes_) {
        loop_.defer([this, restartsAs = script.restartsAs_] { crash(restartsAs); });
    } else if (script.laterBytes_.empty()) {
        endWhenWritten(events, script);
    }
}

void RawEndpoint::endWhenWritten(bufferevent *events, const Script &script)
{
    if (script.resetsConnection_) {
        bufferevent_setcb(events, nullptr, &RawEndpoint::onWrittenBeforeReset, &RawEndpoint::onEvent, this);
    } else if (script.shutsDownWriting_) {
        const auto onWrittenLast = script.closesConnection_ ? &RawEndpoint::onWrittenBeforeShutdownAndClose : &RawEndpoint::onWrittenBeforeShutdown;
        bufferevent_setcb(events, nullptr, onWrittenLast, &RawEndpoint::onEvent, this);
    } else if (script.closesConnection_) {
        bufferevent_setcb(events, nullptr, &RawEndpoint::onWritten, &RawEndpoint::onEvent, this);
    }
}
