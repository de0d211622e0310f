#include "endpointserver.h"

#include <utility>

#include "http1/messagewriter.h"
#include "http1/socketaddress.h"
#include "soakledger.h"

using namespace cowsliphead;
using namespace std::chrono_literals;

namespace
{

constexpr auto RunDuration = 20ms;

/// Maximum number of concurrent requests. Further ones are refused as not run.
constexpr int Slots = 8;

} // namespace

EndpointServer::EndpointServer(EventLoop &loop, SoakLedger &ledger, std::string id)
    : loop_(loop)
    , ledger_(ledger)
    , id_(std::move(id))
    , listener_(loop, [this](int socket) { accept(socket); })
{
    port_ = *listener_.listen(SocketAddress{ "127.0.0.1", 0 });
}

EndpointServer::~EndpointServer() = default;

void EndpointServer::crashOn(std::function<bool(const RequestHead &)> isDeadly, std::function<void()> onCrash)
{
    isDeadly_ = std::move(isDeadly);
    onCrash_ = std::move(onCrash);
}

void EndpointServer::accept(int socket)
{
    const auto number = ++lastSessionNumber_;
    auto &session = sessions_[number];
    session.connection_ =
        std::make_unique<CallerConnection>(loop_,
                                           socket,
                                           CallerConnectionLimits(),
                                           CallerConnectionEvents{
                                               .onRequest_ = [this, number](const CallerRequest &request) { startRequest(sessions_.at(number), request); },
                                               .onDisconnected_ = [] {},
                                               .onRequestRefused_ = [](int /*status*/) {},
                                               .onClosed_ =
                                                   [this, number] {
                                                       running_ -= sessions_.at(number).runTimer_ ? 1 : 0;
                                                       sessions_.erase(number);
                                                   },
                                           });
}

void EndpointServer::startRequest(Session &session, const CallerRequest &request)
{
    const auto &headers = request.head_.headers_;
    const auto attempt = headerValue(headers, "X-Attempt-Id");
    const auto expected = headerValue(headers, "X-Expect-Instance");
    if (expected == id_ && request.head_.target_ == "/api/report") {
        session.connection_->respond(200, reasonPhrase(200), {}, "{\"born\":" + std::to_string(incarnation_) + "}");
        return;
    }
    if (expected != id_ || running_ >= Slots) {
        const int status = expected != id_ ? 421 : 503;
        session.connection_->respond(status, reasonPhrase(status), { { "X-Attempt-Id", attempt }, { "X-Not-Executed", "1" } }, {});
        return;
    }
    ledger_.recordRun(attempt, id_, headerValue(headers, "X-Tenant"), !headerValue(headers, "X-Api-Key").empty());
    if (isDeadly_ && isDeadly_(request.head_)) {
        loop_.defer(onCrash_);
        return;
    }
    ++running_;
    session.runTimer_ = std::make_unique<Timer>(loop_, [this, &session, attempt] { answerRequest(session, attempt); });
    session.runTimer_->startOnce(RunDuration);
}

void EndpointServer::answerRequest(Session &session, const std::string &request)
{
    --running_;
    const auto timer = std::shared_ptr<Timer>(std::move(session.runTimer_));
    loop_.defer([timer] {});
    session.connection_->respond(200, reasonPhrase(200), { { "X-Attempt-Id", request }, { "X-Response-Stamp", id_ } }, SoakLedger::expectedBody(request, id_));
}
