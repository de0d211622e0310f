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

/// Sends a request to a random gateway every 12 ms and reuses connections while they are reusable.
class SoakCaller
{
public:
    SoakCaller(cowsliphead::EventLoop &loop, SoakLedger &ledger, std::vector<std::uint16_t> gateways, std::uint64_t seed);
    ~SoakCaller();
    SoakCaller(const SoakCaller &) = delete;
    SoakCaller &operator=(const SoakCaller &) = delete;

    /// Stops sending requests.
    void stop();

private:
    struct Call;

    void sendRequest();
    std::shared_ptr<cowsliphead::ClientConnection> connectionTo(std::uint16_t gateway);
    void writeRequest(Call &call);
    void finishCall(const std::shared_ptr<Call> &call, bool isComplete);

    cowsliphead::EventLoop &loop_;
    SoakLedger &ledger_;
    std::vector<std::uint16_t> gateways_;
    std::mt19937_64 random_;
    std::map<std::uint16_t, std::deque<std::shared_ptr<cowsliphead::ClientConnection>>> idleConnections_;
    std::map<std::string, std::shared_ptr<Call>> calls_;
    std::uint64_t sentRequests_ = 0;
    cowsliphead::Timer sendTimer_;
};
