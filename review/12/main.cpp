// After a drill of the store, two machines act as holders of one duty with the same fence number.

#include "world.h"

using namespace review;

namespace
{

Json routes()
{
    return Json::array({ routeOf("read", "idempotent", "press-ledger", 2) });
}

// The machine that sent the newest call that was not refused for its fence number.
std::optional<DutyCall> newestCall(World &world)
{
    const auto calls = world.platform().calls();
    return calls.empty() ? std::nullopt : std::optional(calls.back());
}

Gateway *gatewayNamed(World &world, const std::string &name)
{
    for (std::size_t index = 0; index < world.gatewayCount(); ++index) {
        if (world.gateway(index).name() == name) {
            return &world.gateway(index);
        }
    }
    return nullptr;
}

// Calls of two machines with one fence number for one duty and subject.
std::vector<std::string> violations(const std::vector<DutyCall> &calls)
{
    std::vector<std::string> found;
    std::map<std::pair<std::string, std::uint64_t>, std::string> machines;
    std::map<std::string, std::string> reports;
    for (const auto &call : calls) {
        const auto [known, isNew] = machines.try_emplace({ call.subject_, call.fence_ }, call.machine_);
        if (!isNew && known->second != call.machine_) {
            found.push_back("fence " + std::to_string(call.fence_) + " for " + call.subject_ + ": " + known->second + " and " + call.machine_);
            known->second = call.machine_;
        }
        if (call.subject_ == "usage" && call.status_ == 200) {
            const auto body = Json::parse(call.body_);
            const auto [report, isFirst] = reports.try_emplace(body.at("windowSeq").dump(), body.at("counts").dump());
            if (!isFirst && report->second != body.at("counts").dump()) {
                found.push_back("window " + report->first + " reported as " + report->second + " and as " + body.at("counts").dump());
            }
        }
    }
    return found;
}

} // namespace

int main(int /*argc*/, char **argv)
{
    World world(argv[1], { Zones[0], Zones[0], Zones[0], Zones[1], Zones[1], Zones[2], Zones[2] });
    addSiteServers(world);
    world.putConfig(configOf(7, routes(), Json::array({ tenantOf("tenant-a", { "key-a" }), tenantOf("tenant-b", { "key-b" }) })));
    sleepFor(1500ms);
    world.startGateways();
    if (!world.awaitReady(10s)) {
        finish(world, 2, "the gateways did not get ready");
    }
    std::atomic<bool> isOver = false;
    std::thread caller([&] {
        for (std::size_t number = 0; !isOver; ++number) {
            world.send(world.gateway(number % world.gatewayCount()), "GET", "/read/1", number % 3 == 0 ? "key-b" : "key-a");
            sleepFor(20ms);
        }
    });
    sleepFor(15s);
    const auto first = newestCall(world);
    if (!first) {
        finish(world, 2, "no machine took the duties");
    }
    // Planned work: the machine that holds the duties is stopped, and started again once it has ended.
    auto *stopped = gatewayNamed(world, first->machine_);
    const auto stoppedAt = Steady::now();
    stopped->signal(SIGTERM);
    const auto next = [&]() -> std::optional<DutyCall> {
        for (const auto &call : world.platform().calls()) {
            if (call.fence_ > first->fence_) {
                return call;
            }
        }
        return std::nullopt;
    };
    while (!next() && Steady::now() < stoppedAt + 10s) {
        sleepFor(20ms);
    }
    if (!next()) {
        finish(world, 2, "no other machine took the duties");
    }
    world.record().add("next holder: " + next()->machine_ + " with fence " + std::to_string(next()->fence_));
    if (hasTrouble()) {
        // The copy is from before the planned stop.
        world.store().drill(4s, 500ms);
    }
    // The restart goes on in turn: the next one is the machine that has just taken the duties.
    const auto end = Steady::now() + 40s;
    std::vector<Gateway *> turn{ stopped, gatewayNamed(world, next()->machine_) };
    for (std::size_t index = 0; Steady::now() < end; sleepFor(50ms)) {
        if (index < turn.size() && turn[index]->end()) {
            sleepFor(300ms);
            turn[index]->start();
            sleepFor(200ms);
            ++index;
            if (index < turn.size()) {
                turn[index]->signal(SIGTERM);
            }
        }
    }
    isOver = true;
    caller.join();
    const auto calls = world.platform().calls();
    const auto found = violations(calls);
    for (const auto &violation : found) {
        world.record().add("violation: " + violation);
    }
    finish(world, found.empty() ? 0 : 1,
           std::to_string(calls.size()) + " calls of the duties, " + std::to_string(found.size()) + " violations" + (found.empty() ? "" : ", the first: " + found.front()));
}
