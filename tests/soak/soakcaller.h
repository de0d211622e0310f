#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "http1/clientconnection.h"
#include "soakledger.h"
#include "task/eventloop.h"
#include "task/timer.h"

/// Sends requests to gateways in a steady flow, over kept connections for as long as these work.
class SoakCaller
{
public:
    SoakCaller(cowsliphead::EventLoop &loop, SoakLedger &ledger, std::vector<std::uint16_t> gateways, std::uint64_t seed);
    ~SoakCaller();
    SoakCaller(const SoakCaller &) = delete;
    SoakCaller &operator=(const SoakCaller &) = delete;

    /// Sends no further request.
    void stop();

private:
    struct Call;

    void send();
    std::shared_ptr<cowsliphead::ClientConnection> connectionTo(std::uint16_t gateway);
    void write(Call &call);
    void finish(const std::shared_ptr<Call> &call, bool isWhole);

    cowsliphead::EventLoop &loop_;
    SoakLedger &ledger_;
    std::vector<std::uint16_t> gateways_;
    std::mt19937_64 random_;
    std::map<std::uint16_t, std::deque<std::shared_ptr<cowsliphead::ClientConnection>>> kept_;
    std::map<std::string, std::shared_ptr<Call>> calls_;
    std::uint64_t asked_ = 0;
    cowsliphead::Timer next_;
};
