#include "serve/claimclient.h"

#include <utility>

#include "core/systemclock.h"
#include "decide/claimlimits.h"

namespace cowsliphead
{

ClaimClient::ClaimClient(Address<ClaimRequest> requests, Address<ClaimEnd> ends)
    : requests_(std::move(requests))
    , ends_(std::move(ends))
{
}

void ClaimClient::acquire(const ClaimRequest &request, OnVerdict onVerdict)
{
    waiting_.emplace(request.owner_.sequence_, std::move(onVerdict));
    requests_.send(request);
}

void ClaimClient::stopWaiting(std::uint64_t sequence)
{
    waiting_.erase(sequence);
}

void ClaimClient::end(const ClaimEnd &end) const
{
    ends_.send(end);
}

void ClaimClient::deliver(const ClaimVerdict &verdict)
{
    const auto found = waiting_.find(verdict.owner_.sequence_);
    if (found != waiting_.end()) {
        const auto onVerdict = std::move(found->second);
        waiting_.erase(found);
        onVerdict(verdict);
    } else if (verdict.kind_ == ClaimVerdictKind::Granted) {
        const SystemClock clock;
        end({ verdict.key_, verdict.owner_, false, clock.wallNow(), clock.now() + ClaimLimits().endWriteTimeout_, std::nullopt });
    }
}

} // namespace cowsliphead
