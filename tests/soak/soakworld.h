#pragma once

#include <chrono>
#include <cstdint>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "dutyserver.h"
#include "serviceserver.h"
#include "soakcaller.h"
#include "soakgateway.h"
#include "soakledger.h"
#include "storeserver.h"
#include "task/eventloop.h"
#include "task/timer.h"

/// Gateway processes among stand-ins, and a seeded series of faults that strikes them from outside.
class SoakWorld
{
public:
    /// folder: for the processes' settings and logs.
    SoakWorld(std::uint64_t seed, const std::string &folder);
    ~SoakWorld();
    SoakWorld(const SoakWorld &) = delete;
    SoakWorld &operator=(const SoakWorld &) = delete;

    /// Plays the whole series. Returns what broke, one line each.
    std::vector<std::string> play();

    /// The faults that struck, in order, for the report.
    const std::vector<std::string> &faults() const
    {
        return faults_;
    }

private:
    struct Endpoint {
        std::unique_ptr<ServiceServer> server_;
        std::unique_ptr<FaultProxy> proxy_;
    };

    void after(std::chrono::milliseconds time, std::function<void()> action);
    void planFaults();
    void strike(int kind);
    void strikeProcess(int kind);
    void harmStore();
    void harmEndpoint();
    void endpointCrashes();
    void endpointLeaves();
    void withdrawKey();
    void writeConfiguration();
    void addEndpoint();
    void describe(const std::string &id, const char *state, std::uint16_t port);
    SoakGateway &anyGateway();
    std::shared_ptr<Endpoint> takeEndpoint();
    std::chrono::milliseconds anyTime(int least, int most);
    void heal();
    void note(const std::string &fault);

    std::mt19937_64 random_;
    std::string folder_;
    cowsliphead::EventLoop loop_;
    StoreServer store_{ loop_ };
    DutyServer duties_{ loop_ };
    SoakLedger ledger_;
    std::vector<std::shared_ptr<Endpoint>> endpoints_;
    std::vector<std::unique_ptr<SoakGateway>> gateways_;
    std::vector<std::unique_ptr<cowsliphead::Timer>> timers_;
    std::unique_ptr<SoakCaller> caller_;
    std::set<std::string> keys_;
    std::uint64_t version_ = 0;
    int nextEndpoint_ = 0;
    std::chrono::steady_clock::time_point startedAt_;
    std::vector<std::string> faults_;
};
