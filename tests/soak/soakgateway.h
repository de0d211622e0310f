#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>

#include "faultproxy.h"
#include "scenarios/childprocess.h"

/// One gateway process of a soak test, with a proxy of its own between it and the store. restartIfExited() restarts it.
class SoakGateway
{
public:
    /// Starts the process. store, platform: their ports. folder: receives the settings and the log of the process. domain: its failure domain;
    /// without one the process takes no part in the exchange between gateways.
    SoakGateway(
        cowsliphead::EventLoop &loop, int number, std::uint16_t store, std::uint16_t platform, const std::string &folder, const std::string &domain = {});

    /// Starts the process again if it has ended.
    void restartIfExited();

    /// Sends a signal to the process.
    void signal(int number);

    /// The proxy through which the process reaches the store.
    FaultProxy &storeProxy()
    {
        return storeProxy_;
    }

    std::uint16_t port() const
    {
        return port_;
    }

private:
    void start();

    FaultProxy storeProxy_;
    std::uint16_t port_;
    std::string settingsPath_;
    std::string logPath_;
    std::unique_ptr<cowsliphead::scenarios::ChildProcess> process_;
};
