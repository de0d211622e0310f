#include "relay/crashexchange.h"

#include <utility>

namespace cowsliphead
{

CrashExchange::CrashExchange(InstanceId self, Address<CrashReports> gateway)
    : self_(std::move(self))
    , gateway_(std::move(gateway))
{
}

void CrashExchange::received(const CrashReports &reports, MonotonicTime now)
{
    crashes_.merge(reports, now);
    publish(now);
}

CrashQuery CrashExchange::queryFor(const PeerAddress &peer, MonotonicTime now)
{
    auto &known = peers_[peer];
    auto changes = crashes_.changesFor(known.delivered_, now);
    known.sent_ = changes.version_;
    return { known.incarnation_, known.received_, std::move(changes.reports_) };
}

void CrashExchange::answered(const PeerAddress &peer, const InstanceId &incarnation, const CrashAnswer &answer, MonotonicTime now)
{
    auto &known = peers_[peer];
    // A process that took over the address has nothing of what its predecessor was told.
    const bool isSame = known.incarnation_ == incarnation;
    known.delivered_ = isSame || known.incarnation_.isEmpty() ? known.sent_ : 0;
    known.incarnation_ = incarnation;
    known.received_ = answer.version_;
    received(answer.reports_, now);
}

CrashAnswer CrashExchange::answer(const CrashQuery &query, MonotonicTime now)
{
    // Taken before the sender's own reports are merged, which it need not be told.
    auto changes = crashes_.changesFor(query.knownOf_ == self_ ? query.knownVersion_ : 0, now);
    const bool isComplete = changes.version_ == crashes_.version();
    received(query.reports_, now);
    return { isComplete ? crashes_.version() : changes.version_, std::move(changes.reports_) };
}

void CrashExchange::publish(MonotonicTime now)
{
    if (crashes_.version() == publishedVersion_) {
        return;
    }
    gateway_.send(crashes_.changesAfter(publishedVersion_, now));
    publishedVersion_ = crashes_.version();
}

} // namespace cowsliphead
