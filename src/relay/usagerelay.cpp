#include "relay/usagerelay.h"

#include <utility>

#include "relay/relayanswer.h"

namespace cowsliphead
{

UsageRelay::UsageRelay(InstanceId self, Address<MemberCounts> counts, Address<CountsStored> stored)
    : self_(std::move(self))
    , counts_(std::move(counts))
    , stored_(std::move(stored))
{
}

void UsageRelay::counted(const MemberCounts &counts, bool isRelay)
{
    if (isRelay) {
        counts_.send(counts);
    } else {
        outbox_.put(counts);
    }
}

void UsageRelay::stored(const CountsStored &counts)
{
    if (counts.gateway_ == self_) {
        ownStored(counts);
        return;
    }
    auto &versions = storedVersions_[counts.gateway_];
    versions[counts.window_] = counts.version_;
    if (versions.size() > RememberedWindows) {
        versions.erase(versions.begin());
    }
}

void UsageRelay::ownStored(CountsStored counts)
{
    counts.gateway_ = self_;
    outbox_.stored(counts);
    stored_.send(counts);
}

void UsageRelay::becameRelay()
{
    outbox_.relayChanged();
    received(outbox_.toSend());
}

void UsageRelay::ceasedToBeRelay()
{
    storedVersions_.clear();
}

std::vector<MemberCounts> UsageRelay::takeForQuery()
{
    sent_ = outbox_.toSend();
    return sent_;
}

void UsageRelay::answered(const RelayAnswer &answer)
{
    if (std::exchange(sentTo_, answer.from_.incarnation_) != answer.from_.incarnation_) {
        outbox_.relayChanged();
    }
    if (answer.status_.isRelay_) {
        outbox_.delivered(sent_);
    }
    for (const auto &counts : answer.stored_) {
        ownStored(counts);
    }
}

void UsageRelay::received(const std::vector<MemberCounts> &counts)
{
    for (const auto &member : counts) {
        counts_.send(member);
    }
}

std::vector<CountsStored> UsageRelay::storedOf(const InstanceId &gateway) const
{
    std::vector<CountsStored> stored;
    const auto found = storedVersions_.find(gateway);
    if (found != storedVersions_.end()) {
        for (const auto &[window, version] : found->second) {
            stored.push_back({ gateway, window, version });
        }
    }
    return stored;
}

} // namespace cowsliphead
