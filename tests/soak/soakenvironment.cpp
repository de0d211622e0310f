#include "soakenvironment.h"

#include <csignal>

#include <nlohmann/json.hpp>

using namespace cowsliphead;
using namespace std::chrono_literals;
using Json = nlohmann::json;

namespace
{

constexpr int InitialGateways = 3;
constexpr int InitialEndpoints = 3;
constexpr int KeyCount = 5;

/// Faults are injected between the first two times and cleared at the third. Requests sent after RecoveredFrom must be served again.
constexpr int FirstFaultMs = 1500;
constexpr int LastFaultMs = 7000;
constexpr auto ClearFaultsAt = 9000ms;
constexpr auto RecoveredFrom = 15500ms;
constexpr auto StopAt = 17000ms;
constexpr int MinFaultCount = 5;
constexpr int FaultCountRange = 5;
constexpr int FaultKindCount = 13;
constexpr auto RestartInterval = 200ms;

/// The least share of requests served after the recovery. Some may still go to an endpoint whose end the gateways have not yet noticed.
constexpr double MinSuccessRate = 0.9;

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

FaultProxy::Fault randomFault(std::mt19937_64 &random)
{
    constexpr std::array<FaultProxy::Fault, 4> Faults{
        FaultProxy::Fault::Delay, FaultProxy::Fault::Silence, FaultProxy::Fault::OneWay, FaultProxy::Fault::Refuse
    };
    return Faults[random() % Faults.size()];
}

Json routeEntry(const std::string &name, const char *kind)
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

SoakEnvironment::SoakEnvironment(std::uint64_t seed, const std::string &folder, bool hasDrills)
    : random_(seed)
    , drillRandom_(seed)
    , hasDrills_(hasDrills)
    , folder_(folder)
{
    for (int number = 0; number < KeyCount; ++number) {
        keys_.insert("key-" + std::to_string(number));
    }
    writeConfiguration();
    for (int number = 0; number < InitialEndpoints; ++number) {
        addEndpoint();
    }
    std::vector<std::uint16_t> ports;
    for (int number = 0; number < InitialGateways; ++number) {
        gateways_.push_back(std::make_unique<SoakGateway>(loop_, number, store_.port(), usageReports_.port(), folder_));
        ports.push_back(gateways_.back()->port());
    }
    caller_ = std::make_unique<SoakCaller>(loop_, ledger_, ports, random_());
}

SoakEnvironment::~SoakEnvironment() = default;

std::vector<std::string> SoakEnvironment::run()
{
    startedAt_ = std::chrono::steady_clock::now();
    Timer restartTimer(loop_, [this] {
        for (const auto &gateway : gateways_) {
            gateway->restartIfExited();
        }
    });
    restartTimer.startRepeating(RestartInterval);
    scheduleFaults();
    if (hasDrills_) {
        scheduleDrills();
    }
    runAfter(ClearFaultsAt, [this] { clearFaults(); });
    runAfter(StopAt, [this] { loop_.stop(); });
    loop_.run();
    auto violations = ledger_.violations();
    violations.insert(violations.end(), usageReports_.violations().begin(), usageReports_.violations().end());
    const auto served = ledger_.successRateSince(startedAt_ + RecoveredFrom);
    if (served < MinSuccessRate) {
        violations.push_back("only " + std::to_string(served) + " of the requests were served after the recovery");
    }
    return violations;
}

void SoakEnvironment::runAfter(std::chrono::milliseconds delay, std::function<void()> action)
{
    timers_.push_back(std::make_unique<Timer>(loop_, std::move(action)));
    timers_.back()->startOnce(delay);
}

std::chrono::milliseconds SoakEnvironment::randomDuration(int minMs, int maxMs)
{
    return std::chrono::milliseconds(minMs + static_cast<int>(random_() % static_cast<std::uint64_t>(maxMs - minMs)));
}

void SoakEnvironment::scheduleFaults()
{
    const auto count = MinFaultCount + static_cast<int>(random_() % FaultCountRange);
    for (int fault = 0; fault < count; ++fault) {
        const auto kind = static_cast<int>(random_() % FaultKindCount);
        runAfter(randomDuration(FirstFaultMs, LastFaultMs), [this, kind] { injectFault(kind); });
    }
}

/// The second drill comes within seconds of the first one, and both within the other faults.
void SoakEnvironment::scheduleDrills()
{
    const auto between = [this](int minMs, int maxMs) { return std::chrono::milliseconds(std::uniform_int_distribution<int>(minMs, maxMs)(drillRandom_)); };
    const auto first = between(FirstFaultMs, LastFaultMs);
    for (const auto at : { first, first + between(400, 4000) }) {
        runAfter(at, [this, age = between(500, 6000), away = between(50, 1200)] {
            recordFault("the store comes back from a copy " + std::to_string(age.count()) + " ms old after " + std::to_string(away.count()) + " ms");
            store_.restore(age, away);
        });
    }
}

void SoakEnvironment::recordFault(const std::string &fault)
{
    const auto at = std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now() - startedAt_);
    faults_.push_back(std::to_string(at.count()) + " ms " + fault);
}

void SoakEnvironment::injectFault(int kind)
{
    switch (kind) {
    case 0:
    case 1:
    case 2:
    case 3:
        signalRandomGateway(kind);
        return;
    case 4:
    case 5:
        injectStoreFault();
        return;
    case 6:
        recordFault("open connections to the store go silent");
        for (const auto &gateway : gateways_) {
            gateway->storeProxy().silenceOpenConnections();
        }
        return;
    case 7:
        injectEndpointFault();
        return;
    case 8:
        crashEndpoint();
        return;
    case 9:
        drainEndpoint();
        return;
    case 10:
        withdrawKey();
        return;
    case 11:
        recordFault("the store loses answers");
        store_.setLostAnswerShare(0.3);
        runAfter(randomDuration(1000, 3000), [this] { store_.setLostAnswerShare(0); });
        return;
    default:
        recordFault("new configuration");
        writeConfiguration();
    }
}

void SoakEnvironment::signalRandomGateway(int kind)
{
    constexpr std::array<int, 4> Signals{ SIGKILL, SIGTERM, SIGSTOP, SIGHUP };
    const auto number = random_() % gateways_.size();
    const int signal = Signals[static_cast<std::size_t>(kind)];
    recordFault("signal " + std::to_string(signal) + " to gateway " + std::to_string(number));
    gateways_[number]->signal(signal);
    if (signal == SIGSTOP) {
        runAfter(randomDuration(300, 3500), [this, number] { gateways_[number]->signal(SIGCONT); });
    }
    if (signal == SIGTERM) {
        runAfter(randomDuration(50, 1500), [this, number] { gateways_[number]->signal(SIGTERM); });
    }
}

SoakGateway &SoakEnvironment::randomGateway()
{
    return *gateways_[random_() % gateways_.size()];
}

void SoakEnvironment::injectStoreFault()
{
    const auto fault = randomFault(random_);
    const bool affectsAllGateways = random_() % 2 == 0;
    recordFault("store: " + nameOf(fault) + (affectsAllGateways ? " for all" : " for one"));
    for (const auto &gateway : gateways_) {
        if (affectsAllGateways || &randomGateway() == gateway.get()) {
            gateway->storeProxy().setFault(fault);
            runAfter(randomDuration(500, 4000), [gateway = gateway.get()] { gateway->storeProxy().setFault(FaultProxy::Fault::None); });
        }
    }
}

void SoakEnvironment::injectEndpointFault()
{
    const auto endpoint = endpoints_[random_() % endpoints_.size()];
    const auto fault = randomFault(random_);
    recordFault(endpoint->server_->id() + ": " + nameOf(fault));
    endpoint->proxy_->setFault(fault);
    runAfter(randomDuration(500, 3000), [endpoint] { endpoint->proxy_->setFault(FaultProxy::Fault::None); });
}

std::shared_ptr<SoakEnvironment::Endpoint> SoakEnvironment::removeRandomEndpoint()
{
    const auto position = endpoints_.begin() + static_cast<std::ptrdiff_t>(random_() % endpoints_.size());
    auto endpoint = *position;
    endpoints_.erase(position);
    return endpoint;
}

void SoakEnvironment::crashEndpoint()
{
    const auto endpoint = removeRandomEndpoint();
    const auto id = endpoint->server_->id();
    recordFault(id + " crashes");
    endpoint->proxy_->setFault(FaultProxy::Fault::Refuse);
    runAfter(1500ms, [this, id] { store_.remove("servers/" + id); });
    addEndpoint();
    // Keeps the endpoint alive until the end of the run, because the event loop still uses its connections.
    timers_.push_back(std::make_unique<Timer>(loop_, [endpoint] {}));
}

void SoakEnvironment::drainEndpoint()
{
    const auto endpoint = removeRandomEndpoint();
    const auto id = endpoint->server_->id();
    recordFault(id + " drains");
    writeEndpointEntry(id, "draining", endpoint->proxy_->port());
    ledger_.recordEndpointDrain(id);
    runAfter(3000ms, [this, id] { store_.remove("servers/" + id); });
    addEndpoint();
    timers_.push_back(std::make_unique<Timer>(loop_, [endpoint] {}));
}

void SoakEnvironment::withdrawKey()
{
    if (keys_.size() <= 2) {
        return;
    }
    const auto key = *keys_.begin();
    recordFault(key + " is withdrawn");
    keys_.erase(keys_.begin());
    writeConfiguration();
    ledger_.recordKeyWithdrawal(key);
}

void SoakEnvironment::writeConfiguration()
{
    Json tenants = Json::array();
    for (const auto &key : keys_) {
        tenants.push_back({ { "name", SoakLedger::accountForKey(key) }, { "apiKeys", { key } } });
    }
    ++configurationVersion_;
    const Json document{
        { "version", configurationVersion_ },
        { "routes",
          { routeEntry("safe", "idempotent"), routeEntry("once", "non_idempotent"), routeEntry("v" + std::to_string(configurationVersion_), "idempotent") } },
        { "services", { { { "name", "service" }, { "maxConnections", 100 } } } },
        { "tenants", tenants }
    };
    store_.put("op/config", document.dump());
}

void SoakEnvironment::addEndpoint()
{
    const auto endpoint = std::make_shared<Endpoint>();
    const auto id = "endpoint-" + std::to_string(++lastEndpointNumber_);
    endpoint->server_ = std::make_unique<EndpointServer>(loop_, ledger_, id);
    endpoint->proxy_ = std::make_unique<FaultProxy>(loop_, endpoint->server_->port());
    writeEndpointEntry(id, "ready", endpoint->proxy_->port());
    endpoints_.push_back(endpoint);
}

void SoakEnvironment::writeEndpointEntry(const std::string &id, const char *state, std::uint16_t port)
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

void SoakEnvironment::clearFaults()
{
    recordFault("all faults cleared");
    store_.setLostAnswerShare(0);
    for (const auto &gateway : gateways_) {
        gateway->storeProxy().setFault(FaultProxy::Fault::None);
        gateway->signal(SIGCONT);
    }
    for (const auto &endpoint : endpoints_) {
        endpoint->proxy_->setFault(FaultProxy::Fault::None);
    }
}
