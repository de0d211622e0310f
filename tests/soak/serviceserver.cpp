#include "serviceserver.h"

#include <utility>

#include "http1/messagewriter.h"
#include "http1/socketaddress.h"
#include "soakledger.h"

using namespace cowsliphead;
using namespace std::chrono_literals;

namespace
{

constexpr auto WorkTime = 20ms;

/// Requests that run at once; more are refused as not run.
constexpr int Slots = 8;

} // namespace

ServiceServer::ServiceServer(EventLoop &loop, SoakLedger &ledger, std::string id)
    : loop_(loop)
    , ledger_(ledger)
    , id_(std::move(id))
    , listener_(loop, [this](int socket) { accept(socket); })
{
    port_ = *listener_.listen(SocketAddress{ "127.0.0.1", 0 });
}

ServiceServer::~ServiceServer() = default;

void ServiceServer::accept(int socket)
{
    const auto number = ++nextSession_;
    auto &session = sessions_[number];
    session.connection_ =
        std::make_unique<CallerConnection>(loop_,
                                           socket,
                                           CallerConnectionLimits(),
                                           CallerConnectionEvents{
                                               .onRequest_ = [this, number](const CallerRequest &request) { begin(sessions_.at(number), request); },
                                               .onDisconnected_ = [] {},
                                               .onRefused_ = [](int /*status*/) {},
                                               .onClosed_ =
                                                   [this, number] {
                                                       running_ -= sessions_.at(number).work_ ? 1 : 0;
                                                       sessions_.erase(number);
                                                   },
                                           });
}

void ServiceServer::begin(Session &session, const CallerRequest &request)
{
    const auto &headers = request.head_.headers_;
    const auto attempt = headerValue(headers, "X-Attempt-Id");
    const auto expected = headerValue(headers, "X-Expect-Instance");
    if (expected != id_ || running_ >= Slots) {
        const int status = expected != id_ ? 421 : 503;
        session.connection_->respond(status, reasonPhrase(status), { { "X-Attempt-Id", attempt }, { "X-Not-Executed", "1" } }, {});
        return;
    }
    ledger_.ran(attempt, id_, headerValue(headers, "X-Tenant"), !headerValue(headers, "X-Api-Key").empty());
    ++running_;
    session.work_ = std::make_unique<Timer>(loop_, [this, &session, attempt] { finish(session, attempt); });
    session.work_->startOnce(WorkTime);
}

void ServiceServer::finish(Session &session, const std::string &request)
{
    --running_;
    const auto work = std::shared_ptr<Timer>(std::move(session.work_));
    loop_.defer([work] {});
    session.connection_->respond(200, reasonPhrase(200), { { "X-Attempt-Id", request }, { "X-Response-Stamp", id_ } }, SoakLedger::bodyOf(request, id_));
}
