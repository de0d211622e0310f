#include "retrypoolsimulation.h"

#include <algorithm>

using namespace cowsliphead;

namespace
{

constexpr std::size_t Relays = 2;
constexpr std::size_t Gateways = 3;
constexpr ServiceKey Service = 5;
constexpr std::uint64_t PoolLimit = 1000;
constexpr MonotonicTime Now(std::chrono::hours(1));

/// Messages older than this many are lost for good.
constexpr std::size_t KeptMessages = 12;

template <typename Message>
void keep(std::vector<Message> &messages, Message message)
{
    messages.push_back(std::move(message));
    if (messages.size() > KeptMessages) {
        messages.erase(messages.begin());
    }
}

} // namespace

RetryPoolSimulation::RetryPoolSimulation(std::uint32_t seed)
    : random_(seed)
    , relays_(Relays)
    , gateways_(Gateways)
{
    for (std::size_t index = 0; index < Relays; ++index) {
        relays_[index].address_ = { "10.0.0.1", static_cast<std::uint16_t>(index + 1) };
        restart(relays_[index]);
    }
    for (auto &gateway : gateways_) {
        restart(gateway);
    }
}

void RetryPoolSimulation::step()
{
    // Retries are rare and wanted often, so that the pools are mostly empty and one that is counted twice is also granted twice.
    constexpr std::size_t Weights = 100;
    auto &gateway = gateways_[pick(Gateways)];
    const auto action = pick(Weights);
    if (action < 8) {
        const auto retries = 1 + pick(3);
        gateway.total_ += retries;
        deposited_ += retries;
    } else if (action < 55) {
        ask(gateway);
    } else if (action < 75) {
        if (!queries_.empty()) {
            deliver(queries_[pick(queries_.size())]);
        }
    } else if (action < 90) {
        if (!answers_.empty()) {
            deliver(answers_[pick(answers_.size())]);
        }
    } else if (action < 97) {
        gateway.relay_ = pick(Relays);
    } else if (action < 98) {
        restart(gateway);
    } else if (action < 99) {
        restart(relays_[pick(Relays)]);
    } else {
        relays_[pick(Relays)].pool_.clear();
    }
}

std::uint64_t RetryPoolSimulation::deposited() const
{
    return deposited_;
}

std::uint64_t RetryPoolSimulation::received() const
{
    return received_;
}

std::uint64_t RetryPoolSimulation::granted() const
{
    std::uint64_t sum = 0;
    for (const auto &[pair, total] : granted_) {
        sum += total;
    }
    return sum;
}

std::size_t RetryPoolSimulation::pick(std::size_t count)
{
    return std::uniform_int_distribution<std::size_t>(0, count - 1)(random_);
}

InstanceId RetryPoolSimulation::newIncarnation()
{
    return InstanceId(std::to_string(++incarnations_));
}

void RetryPoolSimulation::ask(Gateway &gateway)
{
    const auto &relay = relays_[gateway.relay_];
    const Query query{ gateway.incarnation_, relay.incarnation_, gateway.ledger_.reportTo(relay.address_, { { Service, gateway.total_, pick(4) > 0 } }) };
    keep(queries_, query);
    if (pick(2) == 0) {
        deliver(query);
    }
}

void RetryPoolSimulation::deliver(const Query &query)
{
    // A connection ends with the process, so no message reaches the next one at its address.
    const auto relay = std::find_if(relays_.begin(), relays_.end(), [&](const Relay &item) { return item.incarnation_ == query.to_; });
    if (relay == relays_.end()) {
        return;
    }
    const auto grants = relay->pool_.exchange(query.from_, query.deposits_, Now);
    auto &granted = granted_[{ query.to_, query.from_ }];
    granted = std::max(granted, grants.at(0).total_);
    keep(answers_, Answer{ query.to_, query.from_, grants });
}

void RetryPoolSimulation::deliver(const Answer &answer)
{
    const auto gateway = std::find_if(gateways_.begin(), gateways_.end(), [&](const Gateway &item) { return item.incarnation_ == answer.to_; });
    if (gateway == gateways_.end()) {
        return;
    }
    const auto total = answer.grants_.at(0).total_;
    const auto [seen, isFirst] = gateway->grants_.try_emplace(answer.from_, total);
    if (!isFirst && total > seen->second) {
        received_ += total - seen->second;
        seen->second = total;
    }
}

void RetryPoolSimulation::restart(Gateway &gateway)
{
    gateway = {};
    gateway.incarnation_ = newIncarnation();
}

void RetryPoolSimulation::restart(Relay &relay)
{
    relay.incarnation_ = newIncarnation();
    relay.pool_ = {};
    relay.pool_.setLimit(PoolLimit);
}
