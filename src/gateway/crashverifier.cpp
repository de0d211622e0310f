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

CrashVerifier::CrashVerifier(EventLoop &loop, IncarnationQuery query)
    : loop_(loop)
    , query_(std::move(query))
{
}

CrashVerifier::~CrashVerifier()
{
    for (const auto &[incarnation, check] : checks_) {
        check.connection_->close();
    }
}

void CrashVerifier::verify(const EndpointEntry &endpoint, std::function<void(const LifeSign &)> onAlive)
{
    if (!query_.request_ || endpoint.incarnation_ == 0) {
        return;
    }
    const auto incarnation = crashkeys::ofEndpoint(endpoint.id_, endpoint.incarnation_);
    auto &check = checks_[incarnation];
    check.onAlive_.push_back(std::move(onAlive));
    if (!check.connection_) {
        check.incarnation_ = endpoint.incarnation_;
        ask(incarnation, endpoint);
    }
}

void CrashVerifier::ask(IncarnationKey incarnation, const EndpointEntry &endpoint)
{
    auto &check = checks_.at(incarnation);
    check.timeout_ = std::make_unique<Timer>(loop_, [this, incarnation] { finish(incarnation, false); });
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
                                     [this, incarnation, &check](std::string_view data) {
                                         check.body_.append(data);
                                         if (check.body_.size() > MaxAnswerBytes) {
                                             finish(incarnation, false);
                                         }
                                     },
                                 .onComplete_ = [this, incarnation] { finish(incarnation, true); },
                                 .onFailed_ = [this, incarnation](ConnectionFailure /*failure*/) { finish(incarnation, false); },
                             },
                             ConnectTimeout);
}

bool CrashVerifier::isSameIncarnation(const Check &check) const
{
    if (check.status_ != httpstatus::Ok) {
        return false;
    }
    const auto incarnation = query_.readIncarnation_(check.body_);
    return incarnation && *incarnation == check.incarnation_;
}

void CrashVerifier::finish(IncarnationKey incarnation, bool isAnswered)
{
    auto found = checks_.extract(incarnation);
    if (found.empty()) {
        return;
    }
    // Destroyed in a later iteration: this runs within a callback of the timer or of the connection. After a stall of the process the other one may
    // be due in this iteration too, and must not end a check that begins meanwhile.
    const auto check = std::make_shared<Check>(std::move(found.mapped()));
    check->timeout_->cancel();
    check->connection_->close();
    loop_.defer([check] {});
    if (isAnswered && isSameIncarnation(*check)) {
        for (const auto &onAlive : check->onAlive_) {
            onAlive({ incarnation, std::nullopt, check->askedAt_ });
        }
    }
}

} // namespace cowsliphead
