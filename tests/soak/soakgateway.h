#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>

#include "faultproxy.h"
#include "scenarios/childprocess.h"

/// One gateway process of a soak, with its own way to the store. It is started again whenever it has ended.
class SoakGateway
{
public:
    /// folder: where its settings and its log go.
    SoakGateway(cowsliphead::EventLoop &loop, int number, std::uint16_t store, std::uint16_t platform, const std::string &folder);

    /// Starts it again if it has ended.
    void keepAlive();

    /// Sends a signal to the process.
    void signal(int number);

    FaultProxy &store()
    {
        return store_;
    }

    std::uint16_t port() const
    {
        return port_;
    }

private:
    void start();

    FaultProxy store_;
    std::uint16_t port_;
    std::string settings_;
    std::string log_;
    std::unique_ptr<cowsliphead::scenarios::ChildProcess> process_;
};
