#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "endpointserver.h"
#include "faultproxy.h"
#include "soakcaller.h"
#include "soakgateway.h"
#include "soakledger.h"
#include "storeserver.h"
#include "task/eventloop.h"
#include "task/timer.h"
#include "usagereportserver.h"

/// Gateway processes of two failure domains before endpoints that one request crashes. A caller sends that request again and again, to one
/// gateway after the other; another caller sends ordinary requests.
class CrashFleet
{
public:
    using Time = std::chrono::steady_clock::time_point;

    /// Whether the gateways know each other.
    enum class Links {
        Relays,
        StoreOnly,
    };

    /// folder: receives the settings and logs of the processes.
    CrashFleet(const std::string &folder, Links links);
    ~CrashFleet();
    CrashFleet(const CrashFleet &) = delete;
    CrashFleet &operator=(const CrashFleet &) = delete;

    void runFor(std::chrono::milliseconds time);

    /// From now on the crashing request is sent at this interval.
    void sendCrashingRequests(std::chrono::milliseconds interval);

    /// Kills all gateways; they start again at once.
    void killGateways();

    /// When endpoints crashed, in order.
    const std::vector<Time> &crashes() const
    {
        return crashes_;
    }

    /// The number of crashes after a time.
    int crashesAfter(Time time) const;

    /// The answers to the crashing request with this status.
    int answersWith(int status) const;

    const SoakLedger &ledger() const
    {
        return ledger_;
    }

private:
    struct Endpoint {
        std::unique_ptr<EndpointServer> server_;
        std::unique_ptr<FaultProxy> proxy_;
        std::unique_ptr<cowsliphead::Timer> restart_;
    };

    struct Call;

    void writeConfiguration();
    void addEndpoint(int number);
    void crash(Endpoint &endpoint);
    void sendCrashingRequest();

    cowsliphead::EventLoop loop_;
    StoreServer store_{ loop_ };
    UsageReportServer usageReports_{ loop_ };
    SoakLedger ledger_;
    std::vector<std::unique_ptr<Endpoint>> endpoints_;
    std::vector<std::unique_ptr<SoakGateway>> gateways_;
    std::unique_ptr<SoakCaller> caller_;
    std::vector<std::shared_ptr<Call>> calls_;
    std::vector<Time> crashes_;
    cowsliphead::Timer sendTimer_;
    cowsliphead::Timer restartTimer_;
};
