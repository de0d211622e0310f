// After a drill of the store, a server whose entry is removed keeps getting requests.

#include "world.h"

using namespace review;

namespace
{

constexpr auto DrainBound = 2000ms;
constexpr auto ContactTime = 3000ms;

Json routes()
{
    return Json::array({ routeOf("read", "idempotent", "press-ledger", 2) });
}

} // namespace

int main(int /*argc*/, char **argv)
{
    World world(argv[1], { Zones[0], Zones[0], Zones[1], Zones[2] });
    addSiteServers(world);
    world.putConfig(configOf(7, routes(), Json::array({ tenantOf("tenant-a", { "key-a" }) })));
    sleepFor(1500ms);
    world.startGateways();
    if (!world.awaitReady(10s)) {
        finish(world, 2, "the gateways did not get ready");
    }
    std::atomic<bool> isOver = false;
    std::vector<Answer> answers;
    std::thread caller([&] {
        for (std::size_t number = 0; !isOver; ++number) {
            answers.push_back(world.send(world.gateway(number % world.gatewayCount()), "GET", "/read/1", "key-a"));
            sleepFor(20ms);
        }
    });
    sleepFor(12s);
    if (hasTrouble()) {
        world.store().drill(7s, 500ms);
    } else {
        sleepFor(500ms);
    }
    // The store is stable again after contactMs.
    sleepFor(ContactTime + 200ms);
    auto &leaving = world.server(18);
    leaving.leaveUnannounced();
    const auto confirmedAt = Steady::now();
    // The server goes on for a while and then exits.
    sleepFor(10s);
    leaving.server().crash();
    sleepFor(2s);
    isOver = true;
    caller.join();
    std::set<std::string> late;
    int served = 0;
    for (const auto &answer : answers) {
        if (answer.sentAt_ > confirmedAt + DrainBound) {
            late.insert(answer.attempt_);
            served += answer.status_ == 200 ? 1 : 0;
        }
    }
    int reached = 0;
    for (const auto &run : leaving.runs()) {
        reached += late.contains(run.attempt_) && run.at_ > confirmedAt + DrainBound ? 1 : 0;
    }
    const auto figures = std::to_string(late.size()) + " requests sent later than 2 s after the removal was confirmed, " + std::to_string(served)
        + " answered 200, " + std::to_string(reached) + " of them reached " + leaving.id();
    if (served == 0) {
        finish(world, 2, "no request was served; " + figures);
    }
    finish(world, reached > 0 ? 1 : 0, figures);
}
