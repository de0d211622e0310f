#include "soakcaller.h"

#include <utility>

#include "core/systemclock.h"
#include "http1/messagewriter.h"
#include "http1/requesthead.h"
#include "http1/responsehead.h"

using namespace cowsliphead;
using namespace std::chrono_literals;

namespace
{

constexpr auto SendInterval = 12ms;
constexpr auto Patience = 1500ms;
constexpr auto ConnectTime = 500ms;
constexpr int Keys = 5;

} // namespace

struct SoakCaller::Call {
    std::string id_;
    std::uint16_t gateway_ = 0;
    std::shared_ptr<ClientConnection> connection_;
    std::unique_ptr<Timer> claimTimeout_;
    int status_ = 0;
    std::string body_;
};

SoakCaller::SoakCaller(EventLoop &loop, SoakLedger &ledger, std::vector<std::uint16_t> gateways, std::uint64_t seed)
    : loop_(loop)
    , ledger_(ledger)
    , gateways_(std::move(gateways))
    , random_(seed)
    , next_(loop, [this] { send(); })
{
    next_.startRepeating(SendInterval);
}

SoakCaller::~SoakCaller()
{
    for (const auto &[id, call] : calls_) {
        call->connection_->close();
    }
}

void SoakCaller::stop()
{
    next_.cancel();
}

std::shared_ptr<ClientConnection> SoakCaller::connectionTo(std::uint16_t gateway)
{
    auto &kept = kept_[gateway];
    while (!kept.empty()) {
        auto connection = std::move(kept.front());
        kept.pop_front();
        if (connection->isReusable(SystemClock().now())) {
            return connection;
        }
        connection->close();
    }
    return std::make_shared<ClientConnection>(loop_, SocketAddress{ "127.0.0.1", gateway });
}

void SoakCaller::send()
{
    const auto call = std::make_shared<Call>();
    call->id_ = "request-" + std::to_string(++asked_);
    call->gateway_ = gateways_[random_() % gateways_.size()];
    call->connection_ = connectionTo(call->gateway_);
    auto &request = ledger_.request(call->id_);
    request.sentAt_ = std::chrono::steady_clock::now();
    request.key_ = "key-" + std::to_string(random_() % Keys);
    request.isOnce_ = random_() % 2 == 0;
    calls_[call->id_] = call;
    call->claimTimeout_ = std::make_unique<Timer>(loop_, [this, weak = std::weak_ptr(call)] {
        if (const auto late = weak.lock()) {
            ledger_.request(late->id_).callerLeft_ = true;
            finish(late, false);
        }
    });
    call->claimTimeout_->startOnce(Patience);
    call->connection_->begin({
                                 .onOpen_ = [this, call] { write(*call); },
                                 .onHead_ =
                                     [call](const ResponseHead &head) {
                                         call->status_ = head.status_;
                                         return AnswerHandling::Accept;
                                     },
                                 .onData_ = [call](std::string_view data) { call->body_.append(data); },
                                 .onComplete_ = [this, call] { finish(call, true); },
                                 .onFailed_ = [this, call](ConnectionFailure /*failure*/) { finish(call, false); },
                             },
                             ConnectTime);
}

void SoakCaller::write(Call &call)
{
    const auto &request = ledger_.request(call.id_);
    RequestHead head{
        request.isOnce_ ? "POST" : "GET",
        request.isOnce_ ? "/once/x" : "/safe/x",
        { { "Host", "soak.example" }, { "X-Attempt-Id", call.id_ }, { "X-Api-Key", request.key_ }, { "X-Deadline-Ms", std::to_string(Patience.count()) } }
    };
    if (request.isOnce_) {
        head.headers_.emplace_back("Content-Length", "0");
    }
    call.connection_->write(requestBytes(head));
}

void SoakCaller::finish(const std::shared_ptr<Call> &call, bool isWhole)
{
    if (calls_.erase(call->id_) == 0) {
        return;
    }
    auto &request = ledger_.request(call->id_);
    request.isWhole_ = isWhole;
    if (isWhole) {
        request.status_ = call->status_;
        request.body_ = call->body_;
    }
    if (isWhole && call->connection_->isReusable(SystemClock().now())) {
        kept_[call->gateway_].push_back(call->connection_);
    } else {
        call->connection_->close();
    }
    loop_.defer([timer = std::shared_ptr<Timer>(std::move(call->claimTimeout_))] {});
}
