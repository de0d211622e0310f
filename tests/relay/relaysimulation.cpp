#include "relaysimulation.h"

#include <algorithm>
#include <string>

using namespace cowsliphead;
using namespace std::chrono_literals;

namespace
{

constexpr std::chrono::milliseconds Tick = 100ms;

/// Time from becoming a relay until the configuration and the endpoints are read.
constexpr std::chrono::milliseconds FirstReadTime = 100ms;
constexpr std::chrono::milliseconds MemberLifetime = 3000ms;

/// Pause between the reads of a relay that the store does not answer.
constexpr std::chrono::milliseconds ReadRetryPause = 600ms;

} // namespace

RelaySimulation::RelaySimulation(int gateways, int domains, std::uint64_t seed)
    : seed_(seed)
    , domains_(domains)
    , gateways_(static_cast<std::size_t>(gateways))
{
    for (int number = 0; number < gateways; ++number) {
        start(number);
    }
}

void RelaySimulation::start(int number)
{
    auto &gateway = gateways_[static_cast<std::size_t>(number)];
    ++gateway.runs_;
    gateway.member_.incarnation_ = InstanceId("gateway-" + std::to_string(number) + "-" + std::to_string(gateway.runs_));
    gateway.member_.domain_ = FailureDomain("domain-" + std::to_string(number % domains_));
    gateway.member_.address_ = PeerAddress{ "10.0.0.1", static_cast<std::uint16_t>(number + 1) };
    gateway.heardAt_.clear();
    gateway.selection_.emplace(gateway.member_, 450ms, seed_ * 7919U + static_cast<std::uint64_t>(number) * 31U + static_cast<std::uint64_t>(gateway.runs_));
}

void RelaySimulation::runFor(std::chrono::milliseconds duration)
{
    for (auto passed = 0ms; passed < duration; passed += Tick) {
        clock_.advance(Tick);
        for (int number = 0; number < static_cast<int>(gateways_.size()); ++number) {
            const auto &gateway = gateways_[static_cast<std::size_t>(number)];
            if (gateway.selection_ && !gateway.isPaused_) {
                tick(number);
            }
        }
        for (int number = 0; number < static_cast<int>(gateways_.size()); ++number) {
            if (isServedNow(number)) {
                gateways_[static_cast<std::size_t>(number)].servedAt_ = clock_.now();
            }
        }
    }
}

void RelaySimulation::tick(int number)
{
    auto &gateway = gateways_[static_cast<std::size_t>(number)];
    gateway.selection_->update(clock_.now());
    read(gateway);
    callStore(gateway);
    if (gateway.selection_->role() == RelayRole::Relay) {
        gateway.selection_->mergeMembers(membersHeardBy(gateway));
    }
    ask(number);
}

void RelaySimulation::read(Gateway &gateway)
{
    const bool isRelay = gateway.selection_->role() == RelayRole::Relay;
    if (isRelay && !std::exchange(gateway.isReading_, true)) {
        gateway.relaySince_ = clock_.now();
    }
    gateway.isReading_ = isRelay;
    if (isRelay && clock_.now() - gateway.relaySince_ >= FirstReadTime) {
        const bool isAnswered = isStoreUp_ && !gateway.isRefused_;
        if (!isAnswered && clock_.now() - gateway.triedAt_ >= ReadRetryPause) {
            gateway.triedAt_ = clock_.now();
            ++calls_;
        }
        gateway.selection_->setStoreReachable(isAnswered, clock_.now());
    }
}

void RelaySimulation::callStore(Gateway &gateway)
{
    const auto now = clock_.now();
    const auto step = gateway.selection_->nextStep(now);
    if (step.kind_ == RelayStep::Kind::None) {
        return;
    }
    ++calls_;
    if (!isStoreUp_ || gateway.isRefused_) {
        gateway.selection_->storeUnavailable(now);
        return;
    }
    if (step.kind_ == RelayStep::Kind::ReadEntries) {
        std::vector<RelayEntry> entries;
        for (const auto &[domain, entry] : entries_) {
            entries.push_back(entry);
        }
        gateway.selection_->entriesRead(entries, now);
        return;
    }
    const auto found = entries_.find(gateway.member_.domain_);
    const auto revision = found == entries_.end() ? 0 : found->second.revision_;
    if (revision != step.expectedRevision_) {
        gateway.selection_->entryConflict(now);
        return;
    }
    entries_[gateway.member_.domain_] = RelayEntry{ gateway.member_, ++revision_ };
    gateway.selection_->entryWritten(now);
}

void RelaySimulation::ask(int asking)
{
    auto &gateway = gateways_[static_cast<std::size_t>(asking)];
    const auto target = gateway.selection_->target();
    if (!target) {
        return;
    }
    const int asked = indexOf(*target);
    auto &peer = gateways_[static_cast<std::size_t>(asked)];
    const bool isAnswering = peer.selection_ && !peer.isPaused_ && isReachable(asking, asked);
    if (!isAnswering) {
        return;
    }
    const auto now = clock_.now();
    peer.selection_->queried(gateway.selection_->unusableRelay(), now);
    peer.heardAt_[gateway.member_.address_] = now;
    if (!isReachable(asked, asking)) {
        return;
    }
    if (peer.selection_->status(now).isRelay_) {
        gateway.selection_->setMembers(membersHeardBy(peer));
    }
    gateway.selection_->answered(*target, peer.selection_->status(now), now);
}

std::vector<GatewayMember> RelaySimulation::membersHeardBy(const Gateway &relay) const
{
    std::vector<GatewayMember> members;
    for (const auto &gateway : gateways_) {
        const auto heard = relay.heardAt_.find(gateway.member_.address_);
        const bool isHeard = heard != relay.heardAt_.end() && clock_.now() - heard->second <= MemberLifetime;
        if (isHeard || gateway.member_.address_ == relay.member_.address_) {
            members.push_back(gateway.member_);
        }
    }
    std::sort(members.begin(), members.end());
    return members;
}

bool RelaySimulation::isReachable(int from, int to) const
{
    return !cuts_.contains({ from, to });
}

int RelaySimulation::indexOf(const PeerAddress &address) const
{
    return address.port_ - 1;
}

void RelaySimulation::kill(int gateway)
{
    gateways_[static_cast<std::size_t>(gateway)].selection_.reset();
}

void RelaySimulation::restart(int gateway)
{
    start(gateway);
}

void RelaySimulation::setPaused(int gateway, bool isPaused)
{
    gateways_[static_cast<std::size_t>(gateway)].isPaused_ = isPaused;
}

void RelaySimulation::setRefused(int gateway, bool isRefused)
{
    gateways_[static_cast<std::size_t>(gateway)].isRefused_ = isRefused;
}

void RelaySimulation::setStoreUp(bool isUp)
{
    isStoreUp_ = isUp;
}

void RelaySimulation::cut(int from, int to)
{
    cuts_.insert({ from, to });
}

void RelaySimulation::healAll()
{
    cuts_.clear();
    isStoreUp_ = true;
    for (auto &gateway : gateways_) {
        gateway.isPaused_ = false;
        gateway.isRefused_ = false;
    }
}

void RelaySimulation::leave(int gateway)
{
    gateways_[static_cast<std::size_t>(gateway)].selection_->leave();
}

int RelaySimulation::relayOf(int gateway) const
{
    const auto &domain = gateways_[static_cast<std::size_t>(gateway)].member_.domain_;
    for (int number = 0; number < static_cast<int>(gateways_.size()); ++number) {
        const auto &candidate = gateways_[static_cast<std::size_t>(number)];
        if (candidate.member_.domain_ == domain && candidate.selection_ && candidate.selection_->role() == RelayRole::Relay) {
            return number;
        }
    }
    return -1;
}

bool RelaySimulation::isRelay(int gateway) const
{
    const auto &selection = gateways_[static_cast<std::size_t>(gateway)].selection_;
    return selection && selection->role() == RelayRole::Relay;
}

int RelaySimulation::relayCount() const
{
    return static_cast<int>(std::count_if(
        gateways_.begin(), gateways_.end(), [](const Gateway &gateway) { return gateway.selection_ && gateway.selection_->role() == RelayRole::Relay; }));
}

bool RelaySimulation::isServed(int number) const
{
    return clock_.now() - gateways_[static_cast<std::size_t>(number)].servedAt_ < 3 * Tick;
}

bool RelaySimulation::isServedNow(int number) const
{
    const auto &gateway = gateways_[static_cast<std::size_t>(number)];
    if (!gateway.selection_) {
        return false;
    }
    if (gateway.selection_->status(clock_.now()).isFit_) {
        return true;
    }
    const auto &target = gateway.selection_->target();
    if (gateway.selection_->role() != RelayRole::Member || !target) {
        return false;
    }
    const int asked = indexOf(*target);
    const auto &relay = gateways_[static_cast<std::size_t>(asked)];
    return relay.selection_ && !relay.isPaused_ && isReachable(number, asked) && isReachable(asked, number) && relay.selection_->status(clock_.now()).isFit_;
}

bool RelaySimulation::areAllServed() const
{
    for (int number = 0; number < static_cast<int>(gateways_.size()); ++number) {
        const auto &gateway = gateways_[static_cast<std::size_t>(number)];
        if (gateway.selection_ && !gateway.isPaused_ && !isServed(number)) {
            return false;
        }
    }
    return true;
}

int RelaySimulation::takeCalls()
{
    return std::exchange(calls_, 0);
}
