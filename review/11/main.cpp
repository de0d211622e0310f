// After a drill of the store, a key that a new configuration takes away keeps working.

#include "world.h"

using namespace review;

namespace
{

constexpr auto RevokeBound = 5000ms;

Json routes()
{
    return Json::array({ routeOf("read", "idempotent", "press-ledger", 2) });
}

} // namespace

int main(int /*argc*/, char **argv)
{
    World world(argv[1], { Zones[0], Zones[0], Zones[1], Zones[2] });
    addSiteServers(world);
    const auto both = Json::array({ tenantOf("tenant-a", { "key-a" }), tenantOf("tenant-b", { "key-b" }) });
    world.putConfig(configOf(7, routes(), both));
    sleepFor(1500ms);
    world.startGateways();
    if (!world.awaitReady(10s)) {
        finish(world, 2, "the gateways did not get ready");
    }
    sleepFor(10s);
    // An ordinary change: tenant-c is added.
    auto three = both;
    three.push_back(tenantOf("tenant-c", { "key-c" }));
    world.putConfig(configOf(9, routes(), three));
    sleepFor(1000ms);
    if (hasTrouble()) {
        world.store().drill(5s, 500ms);
    } else {
        sleepFor(500ms);
    }
    sleepFor(1500ms);
    // key-b is taken away.
    const auto confirmedAt = world.putConfig(configOf(12, routes(), Json::array({ three[0], three[2] })));
    int served = 0;
    int ran = 0;
    int controls = 0;
    std::set<std::string> late;
    while (Steady::now() < confirmedAt + RevokeBound + 20s) {
        for (std::size_t index = 0; index < world.gatewayCount(); ++index) {
            const auto answer = world.send(world.gateway(index), "GET", "/read/1", "key-b");
            if (answer.sentAt_ > confirmedAt + RevokeBound) {
                late.insert(answer.attempt_);
                served += answer.status_ == 200 ? 1 : 0;
            }
            controls += world.send(world.gateway(index), "GET", "/read/1", "key-a").status_ == 200 ? 1 : 0;
        }
        sleepFor(500ms);
    }
    for (std::size_t index = 18; index < 21; ++index) {
        for (const auto &run : world.server(index).runs()) {
            ran += late.contains(run.attempt_) ? 1 : 0;
        }
    }
    const auto figures = std::to_string(late.size()) + " requests with the key sent later than 5 s after its withdrawal was confirmed: " + std::to_string(ran)
        + " run, " + std::to_string(served) + " answered 200; " + std::to_string(controls) + " of the other key answered 200";
    if (controls == 0) {
        finish(world, 2, "no request was served; " + figures);
    }
    finish(world, ran > 0 ? 1 : 0, figures);
}
