#include "gateway/crashverifier.h"

#include <utility>

#include "http1/clientconnection.h"
#include "task/eventloop.h"
#include "task/timer.h"

namespace cowsliphead
{

CrashVerifier::CrashVerifier(EventLoop &loop)
    : loop_(loop)
{
}

CrashVerifier::~CrashVerifier()
{
    for (const auto &[address, check] : checks_) {
        check.connection_->close();
    }
}

void CrashVerifier::verify(const SocketAddress &address, std::function<void()> onAlive)
{
    auto &check = checks_[address];
    check.onAlive_.push_back(std::move(onAlive));
    if (check.connection_) {
        return;
    }
    check.connection_ = std::make_shared<ClientConnection>(loop_, address);
    check.openTimer_ = std::make_unique<Timer>(loop_, [this, address] { finish(address, true); });
    check.connection_->begin({
                                 .onOpen_ = [timer = check.openTimer_.get()] { timer->startOnce(OpenTime); },
                                 .onHead_ = [](const ResponseHead & /*head*/) { return AnswerHandling::Accept; },
                                 .onData_ = [](std::string_view /*data*/) {},
                                 .onComplete_ = [] {},
                                 .onFailed_ = [this, address](ConnectionFailure /*failure*/) { finish(address, false); },
                             },
                             ConnectTimeout);
}

void CrashVerifier::finish(const SocketAddress &address, bool isAlive)
{
    // Destroyed in a later iteration: this runs within a callback of the timer or of the connection.
    const auto check = std::make_shared<Check>(std::move(checks_.at(address)));
    checks_.erase(address);
    check->connection_->close();
    loop_.defer([check] {});
    if (isAlive) {
        for (const auto &onAlive : check->onAlive_) {
            onAlive();
        }
    }
}

} // namespace cowsliphead
