#include "relay/crashexchange.h"

#include <utility>

namespace cowsliphead
{

CrashExchange::CrashExchange(InstanceId self, Address<CrashReports> gateway)
    : self_(std::move(self))
    , gateway_(std::move(gateway))
{
}

void CrashExchange::received(const std::vector<CrashReport> &reports, MonotonicTime now)
{
    crashes_.merge(reports, now);
    publish(now);
}

CrashQuery CrashExchange::queryFor(const PeerAddress &peer, MonotonicTime now)
{
    auto &known = peers_[peer];
    known.sent_ = crashes_.version();
    return { known.incarnation_, known.received_, crashes_.changesAfter(known.delivered_, now) };
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
    // Taken before the sender's own counts are merged, which it need not be told.
    CrashAnswer answer;
    answer.reports_ = crashes_.changesAfter(query.knownOf_ == self_ ? query.knownVersion_ : 0, now);
    received(query.reports_, now);
    answer.version_ = crashes_.version();
    return answer;
}

void CrashExchange::publish(MonotonicTime now)
{
    if (crashes_.version() == publishedVersion_) {
        return;
    }
    gateway_.send({ crashes_.changesAfter(publishedVersion_, now) });
    publishedVersion_ = crashes_.version();
}

} // namespace cowsliphead
