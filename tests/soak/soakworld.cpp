#include "soakworld.h"

#include <csignal>

#include <nlohmann/json.hpp>

using namespace cowsliphead;
using namespace std::chrono_literals;
using Json = nlohmann::json;

namespace
{

constexpr int Gateways = 3;
constexpr int Endpoints = 3;
constexpr int Keys = 5;

/// The faults strike between these times; then the world heals, and at the end it must serve again.
constexpr int FaultsFrom = 1500;
constexpr int FaultsUntil = 7000;
constexpr auto HealAt = 9000ms;
constexpr auto CalmFrom = 15500ms;
constexpr auto EndAt = 17000ms;
constexpr int FewestFaults = 5;
constexpr int FaultSpread = 5;
constexpr int FaultKinds = 13;
constexpr auto KeepAliveInterval = 200ms;

/// A calm world serves nearly all; a part may meet an endpoint whose end is not yet known.
constexpr double LeastServed = 0.9;

std::string nameOf(FaultProxy::Fault fault)
{
    switch (fault) {
    case FaultProxy::Fault::Delay:
        return "delay";
    case FaultProxy::Fault::Silence:
        return "silence";
    case FaultProxy::Fault::OneWay:
        return "one way";
    case FaultProxy::Fault::Refuse:
        return "refuse";
    case FaultProxy::Fault::None:
        break;
    }
    return "none";
}

FaultProxy::Fault anyFault(std::mt19937_64 &random)
{
    constexpr std::array<FaultProxy::Fault, 4> Faults{
        FaultProxy::Fault::Delay, FaultProxy::Fault::Silence, FaultProxy::Fault::OneWay, FaultProxy::Fault::Refuse
    };
    return Faults[random() % Faults.size()];
}

Json routeNamed(const std::string &name, const char *kind)
{
    return { { "name", name },
             { "hostname", "soak.example" },
             { "prefix", "/" + name + "/" },
             { "kind", kind },
             { "service", "service" },
             { "timeoutMs", 1200 },
             { "targetLatencyMs", 150 },
             { "priority", 1 },
             { "maxAttempts", kind == std::string("idempotent") ? 2 : 1 } };
}

} // namespace

SoakWorld::SoakWorld(std::uint64_t seed, const std::string &folder)
    : random_(seed)
    , folder_(folder)
{
    for (int number = 0; number < Keys; ++number) {
        keys_.insert("key-" + std::to_string(number));
    }
    writeConfiguration();
    for (int number = 0; number < Endpoints; ++number) {
        addEndpoint();
    }
    std::vector<std::uint16_t> ports;
    for (int number = 0; number < Gateways; ++number) {
        gateways_.push_back(std::make_unique<SoakGateway>(loop_, number, store_.port(), duties_.port(), folder_));
        ports.push_back(gateways_.back()->port());
    }
    caller_ = std::make_unique<SoakCaller>(loop_, ledger_, ports, random_());
}

SoakWorld::~SoakWorld() = default;

std::vector<std::string> SoakWorld::play()
{
    startedAt_ = std::chrono::steady_clock::now();
    Timer keepAlive(loop_, [this] {
        for (const auto &gateway : gateways_) {
            gateway->keepAlive();
        }
    });
    keepAlive.startRepeating(KeepAliveInterval);
    planFaults();
    after(HealAt, [this] { heal(); });
    after(EndAt, [this] { loop_.stop(); });
    loop_.run();
    auto findings = ledger_.findings();
    findings.insert(findings.end(), duties_.findings().begin(), duties_.findings().end());
    const auto served = ledger_.servedSince(startedAt_ + CalmFrom);
    if (served < LeastServed) {
        findings.push_back("only " + std::to_string(served) + " of the requests are served after the faults");
    }
    return findings;
}

void SoakWorld::after(std::chrono::milliseconds time, std::function<void()> action)
{
    timers_.push_back(std::make_unique<Timer>(loop_, std::move(action)));
    timers_.back()->startOnce(time);
}

std::chrono::milliseconds SoakWorld::anyTime(int least, int most)
{
    return std::chrono::milliseconds(least + static_cast<int>(random_() % static_cast<std::uint64_t>(most - least)));
}

void SoakWorld::planFaults()
{
    const auto count = FewestFaults + static_cast<int>(random_() % FaultSpread);
    for (int fault = 0; fault < count; ++fault) {
        const auto kind = static_cast<int>(random_() % FaultKinds);
        after(anyTime(FaultsFrom, FaultsUntil), [this, kind] { strike(kind); });
    }
}

void SoakWorld::note(const std::string &fault)
{
    const auto at = std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now() - startedAt_);
    faults_.push_back(std::to_string(at.count()) + " ms " + fault);
}

void SoakWorld::strike(int kind)
{
    switch (kind) {
    case 0:
    case 1:
    case 2:
    case 3:
        strikeProcess(kind);
        return;
    case 4:
    case 5:
        harmStore();
        return;
    case 6:
        note("open connections to the store fall silent");
        for (const auto &gateway : gateways_) {
            gateway->store().silenceOpenConnections();
        }
        return;
    case 7:
        harmEndpoint();
        return;
    case 8:
        endpointCrashes();
        return;
    case 9:
        endpointLeaves();
        return;
    case 10:
        withdrawKey();
        return;
    case 11:
        note("the store loses answers");
        store_.loseAnswers(0.3);
        after(anyTime(1000, 3000), [this] { store_.loseAnswers(0); });
        return;
    default:
        note("a new configuration");
        writeConfiguration();
    }
}

void SoakWorld::strikeProcess(int kind)
{
    constexpr std::array<int, 4> Signals{ SIGKILL, SIGTERM, SIGSTOP, SIGHUP };
    const auto number = random_() % gateways_.size();
    const int signal = Signals[static_cast<std::size_t>(kind)];
    note("signal " + std::to_string(signal) + " to gateway " + std::to_string(number));
    gateways_[number]->signal(signal);
    if (signal == SIGSTOP) {
        after(anyTime(300, 3500), [this, number] { gateways_[number]->signal(SIGCONT); });
    }
    if (signal == SIGTERM) {
        after(anyTime(50, 1500), [this, number] { gateways_[number]->signal(SIGTERM); });
    }
}

SoakGateway &SoakWorld::anyGateway()
{
    return *gateways_[random_() % gateways_.size()];
}

void SoakWorld::harmStore()
{
    const auto fault = anyFault(random_);
    const bool isForAll = random_() % 2 == 0;
    note("store: " + nameOf(fault) + (isForAll ? " for all" : " for one"));
    for (const auto &gateway : gateways_) {
        if (isForAll || &anyGateway() == gateway.get()) {
            gateway->store().set(fault);
            after(anyTime(500, 4000), [gateway = gateway.get()] { gateway->store().set(FaultProxy::Fault::None); });
        }
    }
}

void SoakWorld::harmEndpoint()
{
    const auto endpoint = endpoints_[random_() % endpoints_.size()];
    const auto fault = anyFault(random_);
    note(endpoint->server_->id() + ": " + nameOf(fault));
    endpoint->proxy_->set(fault);
    after(anyTime(500, 3000), [endpoint] { endpoint->proxy_->set(FaultProxy::Fault::None); });
}

std::shared_ptr<SoakWorld::Endpoint> SoakWorld::takeEndpoint()
{
    const auto chosen = endpoints_.begin() + static_cast<std::ptrdiff_t>(random_() % endpoints_.size());
    auto endpoint = *chosen;
    endpoints_.erase(chosen);
    return endpoint;
}

void SoakWorld::endpointCrashes()
{
    const auto endpoint = takeEndpoint();
    const auto id = endpoint->server_->id();
    note(id + " crashes");
    endpoint->proxy_->set(FaultProxy::Fault::Refuse);
    after(1500ms, [this, id] { store_.remove("servers/" + id); });
    addEndpoint();
    // Kept until the end: its connections belong to the loop.
    timers_.push_back(std::make_unique<Timer>(loop_, [endpoint] {}));
}

void SoakWorld::endpointLeaves()
{
    const auto endpoint = takeEndpoint();
    const auto id = endpoint->server_->id();
    note(id + " leaves");
    describe(id, "draining", endpoint->proxy_->port());
    ledger_.leaving(id);
    after(3000ms, [this, id] { store_.remove("servers/" + id); });
    addEndpoint();
    timers_.push_back(std::make_unique<Timer>(loop_, [endpoint] {}));
}

void SoakWorld::withdrawKey()
{
    if (keys_.size() <= 2) {
        return;
    }
    const auto key = *keys_.begin();
    note(key + " is withdrawn");
    keys_.erase(keys_.begin());
    writeConfiguration();
    ledger_.withdrawn(key);
}

void SoakWorld::writeConfiguration()
{
    Json tenants = Json::array();
    for (const auto &key : keys_) {
        tenants.push_back({ { "name", SoakLedger::accountOf(key) }, { "apiKeys", { key } } });
    }
    ++version_;
    const Json document{
        { "version", version_ },
        { "routes", { routeNamed("safe", "idempotent"), routeNamed("once", "non_idempotent"), routeNamed("v" + std::to_string(version_), "idempotent") } },
        { "services", { { { "name", "service" }, { "maxConnections", 100 } } } },
        { "tenants", tenants }
    };
    store_.put("op/config", document.dump());
}

void SoakWorld::addEndpoint()
{
    const auto endpoint = std::make_shared<Endpoint>();
    const auto id = "endpoint-" + std::to_string(++nextEndpoint_);
    endpoint->server_ = std::make_unique<ServiceServer>(loop_, ledger_, id);
    endpoint->proxy_ = std::make_unique<FaultProxy>(loop_, endpoint->server_->port());
    describe(id, "ready", endpoint->proxy_->port());
    endpoints_.push_back(endpoint);
}

void SoakWorld::describe(const std::string &id, const char *state, std::uint16_t port)
{
    const Json entry{ { "service", "service" },
                      { "address", "127.0.0.1:" + std::to_string(port) },
                      { "zone", "a" },
                      { "state", state },
                      { "slots", 8 },
                      { "born", 1 },
                      { "sequence", state == std::string("ready") ? 1 : 2 } };
    store_.put("servers/" + id, entry.dump());
}

void SoakWorld::heal()
{
    note("all is well again");
    store_.loseAnswers(0);
    for (const auto &gateway : gateways_) {
        gateway->store().set(FaultProxy::Fault::None);
        gateway->signal(SIGCONT);
    }
    for (const auto &endpoint : endpoints_) {
        endpoint->proxy_->set(FaultProxy::Fault::None);
    }
}
