// The operator raises limits.maxBodyBytes. Clients that keep their channels open send bodies within the new limit later than configMs after
// the confirmation of the new version.
#include "../common-2/servers.h"

using namespace review;

namespace
{

constexpr const char *Zones[] = { "zone-a", "zone-b", "zone-c" };
constexpr int GatewaysPerZone = 2;
constexpr int Clients = 40;
constexpr auto ConfigTime = 2000ms;
constexpr int SmallLimit = 65536;
constexpr int LargeLimit = 4194304;
constexpr std::size_t SmallBody = 2000;
constexpr std::size_t LargeBody = 100000;
constexpr auto Pause = 1000ms;
constexpr int RoundsBefore = 3;
constexpr int RoundsAfter = 8;

Json configuration(int version, int maxBodyBytes)
{
    return {
        { "version", version },
        { "routes",
          { { { "name", "r-post" },
              { "hostname", "review.example" },
              { "prefix", "/post/" },
              { "kind", "non_idempotent" },
              { "timeoutMs", 2500 },
              { "targetLatencyMs", 150 },
              { "priority", 2 },
              { "service", "ledger" },
              { "maxAttempts", 1 },
              { "allowAnonymous", false },
              { "sticky", false } } } },
        { "services", { { { "name", "ledger" }, { "healthPath", "/health" }, { "maxConnections", 100 }, { "protocol", "h1" }, { "tls", false } } } },
        { "limits", { { "maxHeaderBytes", 16384 }, { "maxBodyBytes", maxBodyBytes }, { "headerTimeoutMs", 3000 }, { "idleTimeoutMs", 15000 } } },
        { "tenants", { { { "name", "tenant-1" }, { "apiKeys", { "key-1" } }, { "priority", 1 } } } },
    };
}

} // namespace

int main(int, char **arguments)
{
    Record record(std::string(arguments[1]) + "/record.txt");
    const bool hasTrouble = Deployment::hasTrouble();
    Deployment deployment;
    deployment.store().put("op/config", configuration(7, hasTrouble ? SmallLimit : LargeLimit).dump());
    std::atomic<int> ran{ 0 };
    const auto handle = [&](Server &server, Channel &channel, const Message &request) {
        std::this_thread::sleep_for(30ms);
        ++ran;
        return channel.send(response(200,
                                     { { "X-Attempt-Id", request.header("X-Attempt-Id") }, { "X-Response-Stamp", "s." + server.id() }, { "Keep-Alive", "timeout=10" } },
                                     std::to_string(request.body_.size()) + " bytes"));
    };
    std::vector<std::unique_ptr<Server>> servers;
    for (const auto *zone : Zones) {
        for (int count = 0; count < 2; ++count) {
            servers.push_back(std::make_unique<Server>(deployment.store(), "ledger", zone, deployment.host(), 6, "", handle));
        }
    }
    int number = 0;
    for (const auto *zone : Zones) {
        for (int count = 0; count < GatewaysPerZone; ++count) {
            deployment.addGateway("front-" + std::to_string(++number), zone);
        }
    }
    if (!deployment.waitUntilReady()) {
        std::fprintf(stderr, "the gateways do not become ready\n");
        return 2;
    }
    std::this_thread::sleep_for(4s);

    std::mutex mutex;
    std::condition_variable changed;
    int waiting = 0;
    bool mayUseLargeBodies = false;
    std::atomic<int> sent{ 0 };
    std::atomic<int> succeeded{ 0 };
    std::atomic<int> denied{ 0 };
    Threads clients;
    for (int client = 0; client < Clients; ++client) {
        clients.start([&, client] {
            const auto &gateway = deployment.gateways()[std::size_t(client) % deployment.gateways().size()]->callers();
            auto channel = Channel::connectTo(gateway);
            const auto send = [&](std::size_t size) {
                if (!channel) {
                    channel = Channel::connectTo(gateway);
                }
                if (!channel) {
                    return;
                }
                Call call;
                call.method_ = "POST";
                call.target_ = "/post/entry";
                call.key_ = "key-1";
                call.body_ = std::string(size, 'x');
                const auto outcome = exchange(*channel, call);
                ++sent;
                succeeded += outcome.status_ == 200 ? 1 : 0;
                denied += outcome.status_ >= 300 && outcome.status_ < 500 && outcome.status_ != 408 && outcome.status_ != 421 && outcome.status_ != 429
                        && outcome.stamp_.empty()
                    ? 1
                    : 0;
                if (outcome.status_ != 200) {
                    record.write("client %d: %s with a body of %zu bytes is answered %d", client, call.id_.c_str(), size, outcome.status_);
                    // A channel that was refused on is closed; the client goes on with a new one.
                    channel.reset();
                }
            };
            std::this_thread::sleep_for(Pause * client / Clients);
            for (int round = 0; round < RoundsBefore; ++round) {
                send(SmallBody);
                std::this_thread::sleep_for(Pause);
            }
            {
                std::unique_lock lock(mutex);
                ++waiting;
                changed.notify_all();
                changed.wait(lock, [&] { return mayUseLargeBodies; });
            }
            std::this_thread::sleep_for(Pause * client / Clients);
            for (int round = 0; round < RoundsAfter; ++round) {
                send(LargeBody);
                std::this_thread::sleep_for(Pause);
            }
        });
    }
    {
        std::unique_lock lock(mutex);
        changed.wait(lock, [&] { return waiting == Clients; });
    }
    deployment.store().put("op/config", configuration(9, LargeLimit).dump());
    record.write("the store has confirmed version 9 with maxBodyBytes %d (before: %d)", LargeLimit, hasTrouble ? SmallLimit : LargeLimit);
    std::this_thread::sleep_for(ConfigTime + 1000ms);
    record.write("the clients send bodies of %zu bytes on the channels that they have kept", LargeBody);
    {
        const std::lock_guard lock(mutex);
        mayUseLargeBodies = true;
        changed.notify_all();
    }
    clients.join();
    servers.clear();
    const double allowed = 5 + double(sent) / 500;
    record.write("requests: %d, answered 200: %d, ended with a 3xx or 4xx of the system's own though proper: %d (allowed: %.1f)", sent.load(),
                 succeeded.load(), denied.load(), allowed);
    return denied > allowed ? 1 : 0;
}
