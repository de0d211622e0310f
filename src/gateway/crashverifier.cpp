#include "gateway/crashverifier.h"

#include <utility>

#include "core/systemclock.h"
#include "decide/crashkeys.h"
#include "fleet/endpointentry.h"
#include "http/httpstatus.h"
#include "http1/clientconnection.h"
#include "http1/messagewriter.h"
#include "task/eventloop.h"
#include "task/timer.h"

namespace cowsliphead
{

CrashVerifier::CrashVerifier(EventLoop &loop, StartQuery query)
    : loop_(loop)
    , query_(std::move(query))
{
}

CrashVerifier::~CrashVerifier()
{
    for (const auto &[start, check] : checks_) {
        check.connection_->close();
    }
}

void CrashVerifier::verify(const EndpointEntry &endpoint, std::function<void(const LifeSign &)> onAlive)
{
    if (!query_.request_ || endpoint.incarnation_ == 0) {
        return;
    }
    const auto start = crashkeys::ofEndpoint(endpoint.id_, endpoint.incarnation_);
    auto &check = checks_[start];
    check.onAlive_.push_back(std::move(onAlive));
    if (!check.connection_) {
        check.incarnation_ = endpoint.incarnation_;
        ask(start, endpoint);
    }
}

void CrashVerifier::ask(IncarnationKey start, const EndpointEntry &endpoint)
{
    auto &check = checks_.at(start);
    check.timeout_ = std::make_unique<Timer>(loop_, [this, start] { finish(start, false); });
    check.timeout_->startOnce(AnswerTimeout);
    check.connection_ = std::make_shared<ClientConnection>(loop_, endpoint.address_);
    check.connection_->begin({
                                 .onOpen_ =
                                     [&check, head = query_.request_(endpoint)] {
                                         check.askedAt_ = SystemClock().now();
                                         check.connection_->write(requestBytes(head));
                                     },
                                 .onHead_ =
                                     [&check](const ResponseHead &head) {
                                         check.status_ = head.status_;
                                         return AnswerHandling::Accept;
                                     },
                                 .onData_ =
                                     [this, start, &check](std::string_view data) {
                                         check.body_.append(data);
                                         if (check.body_.size() > MaxAnswerBytes) {
                                             finish(start, false);
                                         }
                                     },
                                 .onComplete_ = [this, start] { finish(start, true); },
                                 .onFailed_ = [this, start](ConnectionFailure /*failure*/) { finish(start, false); },
                             },
                             ConnectTimeout);
}

bool CrashVerifier::isSameStart(const Check &check) const
{
    if (check.status_ != httpstatus::Ok) {
        return false;
    }
    const auto incarnation = query_.readIncarnation_(check.body_);
    return incarnation && *incarnation == check.incarnation_;
}

void CrashVerifier::finish(IncarnationKey start, bool isAnswered)
{
    // Destroyed in a later iteration: this runs within a callback of the timer or of the connection.
    const auto check = std::make_shared<Check>(std::move(checks_.at(start)));
    checks_.erase(start);
    check->connection_->close();
    loop_.defer([check] {});
    if (isAnswered && isSameStart(*check)) {
        for (const auto &onAlive : check->onAlive_) {
            onAlive({ start, std::nullopt, check->askedAt_ });
        }
    }
}

} // namespace cowsliphead
