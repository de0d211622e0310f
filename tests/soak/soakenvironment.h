#pragma once

#include <chrono>
#include <cstdint>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "endpointserver.h"
#include "soakcaller.h"
#include "soakgateway.h"
#include "soakledger.h"
#include "storeserver.h"
#include "task/eventloop.h"
#include "task/timer.h"
#include "usagereportserver.h"

/// Runs gateway processes against stand-ins for the store, the platform and endpoints, under load and a seeded random series of faults.
class SoakEnvironment
{
public:
    /// folder: receives the settings and logs of the processes. hasDrills: among the faults the store comes back from copies, twice at least.
    SoakEnvironment(std::uint64_t seed, const std::string &folder, bool hasDrills = false);
    ~SoakEnvironment();
    SoakEnvironment(const SoakEnvironment &) = delete;
    SoakEnvironment &operator=(const SoakEnvironment &) = delete;

    /// Runs the whole series, 17 s. Returns the violated guarantees, one line each.
    std::vector<std::string> run();

    /// The injected faults with their times, in order, for the test report.
    const std::vector<std::string> &faults() const
    {
        return faults_;
    }

private:
    struct Endpoint {
        std::unique_ptr<EndpointServer> server_;
        std::unique_ptr<FaultProxy> proxy_;
    };

    void runAfter(std::chrono::milliseconds delay, std::function<void()> action);
    void scheduleFaults();
    void scheduleDrills();
    void injectFault(int kind);
    void signalRandomGateway(int kind);
    void injectStoreFault();
    void injectEndpointFault();
    void crashEndpoint();
    void drainEndpoint();
    void withdrawKey();
    void writeConfiguration();
    void addEndpoint();
    void writeEndpointEntry(const std::string &id, const char *state, std::uint16_t port);
    SoakGateway &randomGateway();
    std::shared_ptr<Endpoint> removeRandomEndpoint();
    std::chrono::milliseconds randomDuration(int minMs, int maxMs);
    void clearFaults();
    void recordFault(const std::string &fault);

    std::mt19937_64 random_;

    /// Apart from random_, so that the other faults of a seed do not depend on the drills.
    std::mt19937_64 drillRandom_;
    bool hasDrills_;
    std::string folder_;
    cowsliphead::EventLoop loop_;
    StoreServer store_{ loop_ };
    UsageReportServer usageReports_{ loop_ };
    SoakLedger ledger_;
    std::vector<std::shared_ptr<Endpoint>> endpoints_;
    std::vector<std::unique_ptr<SoakGateway>> gateways_;
    std::vector<std::unique_ptr<cowsliphead::Timer>> timers_;
    std::unique_ptr<SoakCaller> caller_;
    std::set<std::string> keys_;
    std::uint64_t configurationVersion_ = 0;
    int lastEndpointNumber_ = 0;
    std::chrono::steady_clock::time_point startedAt_;
    std::vector<std::string> faults_;
};
