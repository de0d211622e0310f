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

/// Gateway processes of two failure domains before endpoints that one request, or one part of prompts, crashes. Crashing requests are sent to
/// one gateway after the other; another caller sends ordinary requests.
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

    /// From now on requests that only share the crashing part are sent at this interval, and as often sound ones that share another part with
    /// them.
    void sendCrashingParts(std::chrono::milliseconds interval);

    /// Kills all gateways; they start again at once.
    void killGateways();

    /// When endpoints crashed, in order.
    const std::vector<Time> &crashes() const
    {
        return crashes_;
    }

    /// The number of crashes after a time.
    int crashesAfter(Time time) const;

    /// The answers to crashing requests with this status.
    int answersWith(int status) const;

    /// The share of the sound requests sent beside crashing parts since a time that were answered with success.
    double soundSuccessRateSince(Time time) const;

    const SoakLedger &ledger() const
    {
        return ledger_;
    }

private:
    struct Endpoint {
        int number_ = 0;

        /// Tells one run of the endpoint from the next.
        int born_ = 0;
        std::unique_ptr<EndpointServer> server_;
        std::unique_ptr<FaultProxy> proxy_;
        std::unique_ptr<cowsliphead::Timer> restart_;
    };

    struct Call;

    void writeConfiguration();
    void addEndpoint(int number);
    void start(Endpoint &endpoint);
    void crash(Endpoint &endpoint);
    void sendCrashingRequest();
    void send(const std::string &path, const std::string &parts, bool isSound);

    cowsliphead::EventLoop loop_;
    StoreServer store_{ loop_ };
    UsageReportServer usageReports_{ loop_ };
    SoakLedger ledger_;
    std::vector<std::unique_ptr<Endpoint>> endpoints_;
    std::vector<std::unique_ptr<SoakGateway>> gateways_;
    std::unique_ptr<SoakCaller> caller_;
    std::vector<std::shared_ptr<Call>> calls_;
    std::vector<Time> crashes_;
    bool sharesPart_ = false;
    cowsliphead::Timer sendTimer_;
    cowsliphead::Timer restartTimer_;
};
