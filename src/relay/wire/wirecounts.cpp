#include "relay/wire/wirecounts.h"

namespace cowsliphead
{

WireCounts toWire(const MemberCounts &counts)
{
    WireCounts wire{ counts.counts_.window_, counts.version_, counts.counts_.isFinal_, {} };
    for (const auto &[account, requests] : counts.counts_.requests_) {
        wire.requests_.emplace(account.value(), requests);
    }
    return wire;
}

MemberCounts fromWire(const WireCounts &wire)
{
    MemberCounts counts{ {}, wire.version_, { wire.window_, {}, wire.isFinal_ } };
    for (const auto &[account, requests] : wire.requests_) {
        counts.counts_.requests_.emplace(AccountId(account), requests);
    }
    return counts;
}

} // namespace cowsliphead
