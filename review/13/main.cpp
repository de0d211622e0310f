// After a drill of the store, the next holder of the duties reports a window of usage once more, with other counts.

#include "world.h"

using namespace review;

namespace
{

constexpr std::chrono::milliseconds WindowLength{ 5000 };

Json routes()
{
    return Json::array({ routeOf("read", "idempotent", "press-ledger", 2) });
}

std::int64_t wallMs()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
}

std::int64_t windowOf(const DutyCall &call)
{
    return Json::parse(call.body_).at("windowSeq").get<std::int64_t>();
}

// The reports of usage that the platform accepted.
std::vector<DutyCall> reports(World &world)
{
    auto calls = world.platform().calls();
    std::erase_if(calls, [](const DutyCall &call) { return call.subject_ != "usage" || call.status_ != 200; });
    return calls;
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

// Windows that were reported twice with different counts.
std::vector<std::string> violations(const std::vector<DutyCall> &accepted)
{
    std::vector<std::string> found;
    std::map<std::int64_t, DutyCall> known;
    for (const auto &call : accepted) {
        const auto [first, isNew] = known.try_emplace(windowOf(call), call);
        const auto before = Json::parse(first->second.body_).at("counts");
        const auto now = Json::parse(call.body_).at("counts");
        if (!isNew && before != now) {
            found.push_back("window " + std::to_string(first->first) + " reported by " + first->second.machine_ + ", fence "
                            + std::to_string(first->second.fence_) + ", as " + before.dump() + " and by " + call.machine_ + ", fence "
                            + std::to_string(call.fence_) + ", as " + now.dump());
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
    std::vector<std::thread> callers;
    for (std::size_t caller = 0; caller < 4; ++caller) {
        callers.emplace_back([&, caller] {
            for (std::size_t number = caller; !isOver; ++number) {
                world.send(world.gateway(number % world.gatewayCount()), "GET", "/read/1", number % 3 == 0 ? "key-b" : "key-a");
                sleepFor(20ms);
            }
        });
    }
    sleepFor(15s);
    // The first window that ends after this is the one to look at.
    const auto window = wallMs() / WindowLength.count();
    const auto windowEnd = (window + 1) * WindowLength.count();
    std::optional<DutyCall> report;
    while (!report && wallMs() < windowEnd + 8000) {
        for (const auto &call : reports(world)) {
            if (windowOf(call) == window) {
                report = call;
            }
        }
        sleepFor(10ms);
    }
    if (!report) {
        finish(world, 2, "the window was not reported");
    }
    world.record().add("the platform has accepted the report of window " + std::to_string(window));
    if (hasTrouble()) {
        world.store().drill(3s, 500ms);
    } else {
        sleepFor(500ms);
    }
    // Planned work: the machine that holds the duties is stopped, and started again once it has ended.
    sleepFor(2s);
    auto *stopped = gatewayNamed(world, report->machine_);
    stopped->signal(SIGTERM);
    const auto end = Steady::now() + 16s;
    for (bool isStarted = false; Steady::now() < end; sleepFor(50ms)) {
        if (!isStarted && stopped->end()) {
            sleepFor(300ms);
            stopped->start();
            isStarted = true;
        }
    }
    isOver = true;
    for (auto &caller : callers) {
        caller.join();
    }
    const auto accepted = reports(world);
    const auto found = violations(accepted);
    for (const auto &violation : found) {
        world.record().add("violation: " + violation);
    }
    finish(world, found.empty() ? 0 : 1,
           std::to_string(accepted.size()) + " accepted reports of usage, " + std::to_string(found.size()) + " windows reported with different counts"
               + (found.empty() ? "" : "; " + found.front()));
}
