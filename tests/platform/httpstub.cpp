#include "httpstub.h"

#include "http1/messagewriter.h"

using namespace cowsliphead;

HttpStub::HttpStub(EventLoop &loop, Handler handler)
    : loop_(loop)
    , handler_(std::move(handler))
    , listener_(loop, [this](int socket) { accept(socket); })
{
    port_ = *listener_.listen(SocketAddress{ "127.0.0.1", 0 });
}

void HttpStub::accept(int socket)
{
    const int number = ++accepted_;
    CallerConnectionEvents events{
        .onRequest_ =
            [this, number](const CallerRequest &request) {
                if (const auto answer = handler_(request)) {
                    connections_.at(number)->respond(answer->status_, reasonPhrase(answer->status_), answer->headers_, answer->body_);
                }
            },
        .onDisconnected_ = [] {},
        .onRequestRefused_ = [](int /*status*/) {},
        .onClosed_ = [this, number] { connections_.erase(number); },
    };
    connections_.emplace(number, std::make_unique<CallerConnection>(loop_, socket, CallerConnectionLimits(), std::move(events)));
}
