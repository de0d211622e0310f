#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <vector>

#include "relay/retrydepositledger.h"
#include "relay/retrypool.h"

/// Gateways that deposit retries with relays and get grants from them. Messages are lost, repeated and reordered, gateways change their relay,
/// and both are restarted, in an order that a seed determines.
class RetryPoolSimulation
{
public:
    explicit RetryPoolSimulation(std::uint32_t seed);

    /// Lets one thing happen.
    void step();

    /// All retries that gateways have deposited, and all grants that they have counted.
    std::uint64_t deposited() const;
    std::uint64_t received() const;

    /// All retries that the pools have granted.
    std::uint64_t granted() const;

private:
    struct Relay {
        cowsliphead::InstanceId incarnation_;
        cowsliphead::PeerAddress address_;
        cowsliphead::RetryPool pool_;
    };

    struct Gateway {
        cowsliphead::InstanceId incarnation_;
        cowsliphead::RetryDepositLedger ledger_;
        std::uint64_t total_ = 0;
        std::size_t relay_ = 0;

        /// The largest total of grants seen of each relay.
        std::map<cowsliphead::InstanceId, std::uint64_t> grants_;
    };

    struct Query {
        cowsliphead::InstanceId from_;
        cowsliphead::InstanceId to_;
        cowsliphead::RetryDeposits deposits_;
    };

    struct Answer {
        cowsliphead::InstanceId from_;
        cowsliphead::InstanceId to_;
        cowsliphead::RetryGrants grants_;
    };

    std::size_t pick(std::size_t count);
    cowsliphead::InstanceId newIncarnation();
    void ask(Gateway &gateway);
    void deliver(const Query &query);
    void deliver(const Answer &answer);
    void restart(Gateway &gateway);
    void restart(Relay &relay);

    std::mt19937 random_;
    int incarnations_ = 0;
    std::vector<Relay> relays_;
    std::vector<Gateway> gateways_;
    std::vector<Query> queries_;
    std::vector<Answer> answers_;
    std::map<std::pair<cowsliphead::InstanceId, cowsliphead::InstanceId>, std::uint64_t> granted_;
    std::uint64_t deposited_ = 0;
    std::uint64_t received_ = 0;
};
