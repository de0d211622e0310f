#include "gateway/readinessserver.h"

#include <utility>

#include "http/httpstatus.h"
#include "http1/messagewriter.h"

namespace cowsliphead
{

ReadinessServer::ReadinessServer(EventLoop &loop, std::function<bool()> isReady)
    : loop_(loop)
    , isReady_(std::move(isReady))
    , listener_(loop, [this](int socket) { accept(socket); })
{
}

ReadinessServer::~ReadinessServer() = default;

Result<std::uint16_t> ReadinessServer::listen(const SocketAddress &address)
{
    return listener_.listen(address);
}

void ReadinessServer::accept(int socket)
{
    const auto number = ++nextNumber_;
    CallerConnectionEvents events{
        .onRequest_ =
            [this, number](const CallerRequest & /*request*/) {
                const int status = isReady_() ? httpstatus::Ok : httpstatus::ServiceUnavailable;
                connections_.at(number)->respond(status, reasonPhrase(status), {}, {});
            },
        .onDisconnected_ = [] {},
        .onRequestRefused_ = [](int /*status*/) {},
        .onClosed_ = [this, number] { connections_.erase(number); },
    };
    connections_.emplace(number, std::make_unique<CallerConnection>(loop_, socket, CallerConnectionLimits(), std::move(events)));
}

} // namespace cowsliphead
