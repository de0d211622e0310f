#include "duty/scaledfleet.h"

#include <algorithm>
#include <cmath>

namespace cowsliphead
{

namespace
{

const ServiceName Models("models");
constexpr std::chrono::milliseconds Step{ 100 };
constexpr std::chrono::milliseconds BootTime{ 4000 };
constexpr std::uint32_t StepsPerPlan = 5;
constexpr std::uint32_t PrefillOneIn = 3;

} // namespace

ScaledFleet::ScaledFleet(const std::vector<std::string> &domains, std::uint32_t basePerDomain, std::uint32_t maxReplicas, std::uint64_t cacheTokenBytes)
    : domains_(domains)
{
    ServiceSpec service;
    service.name_ = Models;
    service.engine_ = EngineSpec{ .slots_ = Slots, .cacheTokenBytes_ = cacheTokenBytes };
    service.scaling_ = ScalingSpec{ 1, maxReplicas, BootTime, 0.22, {} };
    configuration_->services_.emplace(Models, service);
    for (const auto &domain : domains) {
        for (std::uint32_t number = 0; number < basePerDomain; ++number) {
            add(domain, false, clock_.now());
        }
    }
}

void ScaledFleet::run(std::chrono::milliseconds duration, double runningRequests, double prefillingEngines, const std::function<void()> &check)
{
    for (const auto end = clock_.now() + duration; clock_.now() < end; clock_.advance(Step)) {
        const auto fleet = snapshot();
        if (isReporting_) {
            planner_->addLoads(fleet, loads(runningRequests, prefillingEngines), clock_.now());
        }
        if (++steps_ % StepsPerPlan == 0) {
            for (const auto &order : planner_->plan(fleet, clock_.now())) {
                carryOut(order);
            }
        }
        check();
    }
}

void ScaledFleet::reclaim(const std::string &domain)
{
    unavailable_.insert(domain);
    std::erase_if(servers_, [&domain](const Server &server) { return server.entry_.isReclaimable_ && server.entry_.domain_.value() == domain; });
}

void ScaledFleet::restore(const std::string &domain)
{
    unavailable_.erase(domain);
}

void ScaledFleet::changeHolder()
{
    const auto record = planner_->record();
    planner_ = std::make_unique<ScalePlanner>();
    planner_->restore(record);
}

std::uint32_t ScaledFleet::count(const std::string &domain, bool isReclaimable) const
{
    return static_cast<std::uint32_t>(std::count_if(servers_.begin(), servers_.end(), [&](const Server &server) {
        return isListed(server) && server.entry_.domain_.value() == domain && server.entry_.isReclaimable_ == isReclaimable;
    }));
}

std::uint32_t ScaledFleet::total() const
{
    return static_cast<std::uint32_t>(std::count_if(servers_.begin(), servers_.end(), [this](const Server &server) { return isListed(server); }));
}

std::uint32_t ScaledFleet::reclaimable() const
{
    return static_cast<std::uint32_t>(
        std::count_if(servers_.begin(), servers_.end(), [this](const Server &server) { return isListed(server) && server.entry_.isReclaimable_; }));
}

std::uint32_t ScaledFleet::committed(const std::string &domain) const
{
    return static_cast<std::uint32_t>(
        std::count_if(servers_.begin(), servers_.end(), [&domain](const Server &server) { return server.entry_.domain_.value() == domain; }));
}

void ScaledFleet::add(const std::string &domain, bool isReclaimable, MonotonicTime listedAt)
{
    EndpointEntry entry;
    entry.id_ = EndpointId("engine-" + std::to_string(created_));
    entry.service_ = Models;
    entry.domain_ = FailureDomain(domain);
    entry.slots_ = Slots;
    entry.stage_ = created_ % PrefillOneIn == 0 ? EngineStage::Prefill : EngineStage::Decode;
    entry.isReclaimable_ = isReclaimable;
    ++created_;
    servers_.push_back({ entry, listedAt });
}

void ScaledFleet::carryOut(const ServerOrder &order)
{
    ++orders_;
    const auto isMeant = [&order](const Server &server) {
        return server.entry_.domain_ == order.domain_ && server.entry_.isReclaimable_ == order.isReclaimable_;
    };
    auto present = static_cast<std::uint32_t>(std::count_if(servers_.begin(), servers_.end(), isMeant));
    if (order.isReclaimable_ && unavailable_.contains(order.domain_.value()) && order.count_ > present) {
        planner_->unavailable(order, clock_.now());
        return;
    }
    for (; present > order.count_; --present) {
        servers_.erase(std::find_if(servers_.begin(), servers_.end(), isMeant));
    }
    for (; present < order.count_; ++present) {
        add(order.domain_.value(), order.isReclaimable_, clock_.now() + BootTime);
    }
    planner_->accepted(order, clock_.now());
}

FleetSnapshot ScaledFleet::snapshot() const
{
    auto endpoints = std::make_shared<std::vector<EndpointEntry>>();
    for (const auto &server : servers_) {
        if (isListed(server)) {
            endpoints->push_back(server.entry_);
        }
    }
    return { configuration_, endpoints };
}

EndpointLoads ScaledFleet::loads(double runningRequests, double prefillingEngines) const
{
    std::vector<EndpointLoad> decode;
    std::vector<EndpointLoad> prefill;
    for (const auto &server : servers_) {
        if (isListed(server)) {
            (server.entry_.stage_ == EngineStage::Prefill ? prefill : decode).push_back({ endpointKeyOf(server.entry_.id_), 0, 0 });
        }
    }
    for (std::size_t number = 0; number < static_cast<std::size_t>(runningRequests) && !decode.empty(); ++number) {
        ++decode[number % decode.size()].running_;
    }
    for (std::size_t number = 0; number < static_cast<std::size_t>(prefillingEngines) && !prefill.empty(); ++number) {
        prefill[number % prefill.size()].promptTokens_ += 40000;
    }
    decode.insert(decode.end(), prefill.begin(), prefill.end());
    std::sort(decode.begin(), decode.end());
    return decode;
}

} // namespace cowsliphead
