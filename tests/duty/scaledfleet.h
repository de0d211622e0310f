#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <set>
#include <string>
#include <vector>

#include "core/virtualclock.h"
#include "duty/scaleplanner.h"

namespace cowsliphead
{

/// Simulated platform with one service in several failure domains, whose endpoints a planner orders. Ordered endpoints are listed after 4 s, and
/// those given up disappear at once.
class ScaledFleet
{
public:
    static constexpr std::uint32_t Slots = 24;

    /// Starts with base endpoints only, of which every third prefills.
    ScaledFleet(const std::vector<std::string> &domains, std::uint32_t basePerDomain, std::uint32_t maxReplicas, std::uint64_t cacheTokenBytes = 35136);

    /// Runs with this load; after each step of 100 ms, check is called.
    void run(
        std::chrono::milliseconds duration, double runningRequests, double prefillingEngines, const std::function<void()> &check = [] {});

    /// Removes all reclaimable endpoints of a domain, and grants none there until restore().
    void reclaim(const std::string &domain);
    void restore(const std::string &domain);

    /// Replaces the planner by one that knows only the record that the previous one left in the store.
    void changeHolder();

    /// From now on, the planner gets no reports of the load, or gets them again.
    void setReporting(bool isReporting)
    {
        isReporting_ = isReporting;
    }

    std::uint32_t count(const std::string &domain, bool isReclaimable) const;
    std::uint32_t total() const;
    std::uint32_t reclaimable() const;

    /// Number of endpoints that are running or ordered in the domain, as the platform bounds them.
    std::uint32_t committed(const std::string &domain) const;
    std::size_t orders() const
    {
        return orders_;
    }

    const std::vector<std::string> &domains() const
    {
        return domains_;
    }

private:
    struct Server {
        EndpointEntry entry_;
        MonotonicTime listedAt_;
    };

    bool isListed(const Server &server) const
    {
        return server.listedAt_ <= clock_.now();
    }

    void add(const std::string &domain, bool isReclaimable, MonotonicTime listedAt);
    void carryOut(const ServerOrder &order);
    FleetSnapshot snapshot() const;
    EndpointLoads loads(double runningRequests, double prefillingEngines) const;

    VirtualClock clock_;
    std::vector<std::string> domains_;
    std::shared_ptr<Configuration> configuration_ = std::make_shared<Configuration>();
    std::vector<Server> servers_;
    std::set<std::string> unavailable_;
    std::unique_ptr<ScalePlanner> planner_ = std::make_unique<ScalePlanner>();
    bool isReporting_ = true;
    std::uint32_t created_ = 0;
    std::uint32_t steps_ = 0;
    std::size_t orders_ = 0;
};

} // namespace cowsliphead
