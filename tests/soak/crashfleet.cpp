#include "crashfleet.h"

#include <algorithm>
#include <csignal>

#include <nlohmann/json.hpp>

#include "http1/messagewriter.h"
#include "http1/requesthead.h"
#include "http1/responsehead.h"

using namespace cowsliphead;
using namespace std::chrono_literals;
using Json = nlohmann::json;

namespace
{

constexpr int GatewayCount = 4;
constexpr int EndpointCount = 8;
constexpr int KeyCount = 5;
constexpr const char *CrashingPath = "/safe/crash";
constexpr const char *CrashingPart = "deadly:7";

/// How long a crashed endpoint is away.
constexpr auto RestartTime = 600ms;
constexpr auto GatewayRestartInterval = 100ms;

bool isDeadly(const RequestHead &head)
{
    return head.target_ == CrashingPath || headerValue(head.headers_, "X-Prompt-Prefix").find(CrashingPart) != std::string::npos;
}

std::string nameOf(int number)
{
    return "endpoint-" + std::to_string(number);
}

Json routeEntry(const std::string &name, const char *kind, int maxAttempts)
{
    return { { "name", name },
             { "hostname", "soak.example" },
             { "prefix", "/" + name + "/" },
             { "kind", kind },
             { "service", "service" },
             { "timeoutMs", 1200 },
             { "targetLatencyMs", 150 },
             { "priority", 1 },
             { "maxAttempts", maxAttempts } };
}

} // namespace

/// One sending of a crashing request, or of a sound one beside it.
struct CrashFleet::Call {
    std::string id_;
    bool isSound_ = false;
    Time sentAt_;
    std::shared_ptr<ClientConnection> connection_;
    int status_ = 0;
};

CrashFleet::CrashFleet(const std::string &folder, Links links)
    : sendTimer_(loop_, [this] { sendCrashingRequest(); })
    , restartTimer_(loop_, [this] {
        for (const auto &gateway : gateways_) {
            gateway->restartIfExited();
        }
    })
{
    writeConfiguration();
    for (int number = 0; number < EndpointCount; ++number) {
        addEndpoint(number);
    }
    std::vector<std::uint16_t> ports;
    for (int number = 0; number < GatewayCount; ++number) {
        const std::string domain = links == Links::StoreOnly ? "" : number % 2 == 0 ? "a" : "b";
        gateways_.push_back(std::make_unique<SoakGateway>(loop_, number, store_.port(), usageReports_.port(), folder, domain));
        ports.push_back(gateways_.back()->port());
    }
    restartTimer_.startRepeating(GatewayRestartInterval);
    caller_ = std::make_unique<SoakCaller>(loop_, ledger_, ports, 1);
}

CrashFleet::~CrashFleet()
{
    for (const auto &call : calls_) {
        call->connection_->close();
    }
}

void CrashFleet::writeConfiguration()
{
    Json tenants = Json::array();
    for (int number = 0; number < KeyCount; ++number) {
        const auto key = "key-" + std::to_string(number);
        tenants.push_back({ { "name", SoakLedger::accountForKey(key) }, { "apiKeys", { key } } });
    }
    const Json document{ { "version", 1 },
                         { "routes", { routeEntry("safe", "idempotent", 2), routeEntry("once", "non_idempotent", 1) } },
                         { "services", { { { "name", "service" }, { "maxConnections", 100 } } } },
                         { "tenants", tenants } };
    store_.put("op/config", document.dump());
}

void CrashFleet::addEndpoint(int number)
{
    auto endpoint = std::make_unique<Endpoint>();
    endpoint->number_ = number;
    endpoint->server_ = std::make_unique<EndpointServer>(loop_, ledger_, nameOf(number));
    endpoint->proxy_ = std::make_unique<FaultProxy>(loop_, endpoint->server_->port());
    endpoint->restart_ = std::make_unique<Timer>(loop_, [this, endpoint = endpoint.get()] { start(*endpoint); });
    endpoint->server_->crashOn(isDeadly, [this, endpoint = endpoint.get()] { crash(*endpoint); });
    start(*endpoint);
    endpoints_.push_back(std::move(endpoint));
}

/// Starts the endpoint under its name, as another incarnation than before.
void CrashFleet::start(Endpoint &endpoint)
{
    const Json entry{ { "service", "service" },
                      { "address", "127.0.0.1:" + std::to_string(endpoint.proxy_->port()) },
                      { "zone", endpoint.number_ % 2 == 0 ? "a" : "b" },
                      { "state", "ready" },
                      { "slots", 8 },
                      { "born", ++endpoint.born_ },
                      { "sequence", 1 } };
    store_.put("servers/" + nameOf(endpoint.number_), entry.dump());
    endpoint.server_->setIncarnation(endpoint.born_);
    endpoint.proxy_->setFault(FaultProxy::Fault::None);
}

void CrashFleet::crash(Endpoint &endpoint)
{
    crashes_.push_back(std::chrono::steady_clock::now());
    endpoint.proxy_->setFault(FaultProxy::Fault::Refuse);
    endpoint.restart_->startOnce(RestartTime);
}

void CrashFleet::runFor(std::chrono::milliseconds time)
{
    Timer end(loop_, [this] { loop_.stop(); });
    end.startOnce(time);
    loop_.run();
}

void CrashFleet::sendCrashingRequests(std::chrono::milliseconds interval)
{
    sendTimer_.startRepeating(interval);
}

void CrashFleet::sendCrashingParts(std::chrono::milliseconds interval)
{
    sharesPart_ = true;
    sendTimer_.startRepeating(interval);
}

void CrashFleet::killGateways()
{
    for (const auto &gateway : gateways_) {
        gateway->signal(SIGKILL);
    }
}

void CrashFleet::sendCrashingRequest()
{
    if (!sharesPart_) {
        send(CrashingPath, "", false);
        return;
    }
    // No two requests are alike.
    const auto own = std::to_string(calls_.size());
    send("/safe/" + own, std::string("first:9,") + CrashingPart + ",own-" + own + ":5", false);
    send("/safe/sound-" + own, "first:9,sound:7,own-" + own + ":5", true);
}

void CrashFleet::send(const std::string &path, const std::string &parts, bool isSound)
{
    const auto call = std::make_shared<Call>();
    call->id_ = "crashing-" + std::to_string(calls_.size());
    call->isSound_ = isSound;
    call->sentAt_ = std::chrono::steady_clock::now();
    call->connection_ = std::make_shared<ClientConnection>(loop_, SocketAddress{ "127.0.0.1", gateways_[calls_.size() % gateways_.size()]->port() });
    calls_.push_back(call);
    auto &request = ledger_.request(call->id_);
    request.sentAt_ = std::chrono::steady_clock::now();
    request.key_ = "key-1";
    HttpHeaders headers{ { "Host", "soak.example" }, { "X-Attempt-Id", call->id_ }, { "X-Api-Key", request.key_ }, { "X-Deadline-Ms", "1000" } };
    if (!parts.empty()) {
        headers.emplace_back("X-Prompt-Prefix", parts);
    }
    call->connection_->begin({
                                 .onOpen_ =
                                     [call, path, headers] {
                                         call->connection_->write(requestBytes({ "GET", path, headers }));
                                     },
                                 .onHead_ =
                                     [call](const ResponseHead &head) {
                                         call->status_ = head.status_;
                                         return AnswerHandling::Accept;
                                     },
                                 .onData_ = [](std::string_view /*data*/) {},
                                 .onComplete_ = [call] { call->connection_->close(); },
                                 .onFailed_ = [](ConnectionFailure /*failure*/) {},
                             },
                             500ms);
}

int CrashFleet::crashesAfter(Time time) const
{
    return static_cast<int>(std::count_if(crashes_.begin(), crashes_.end(), [time](Time crash) { return crash > time; }));
}

int CrashFleet::answersWith(int status) const
{
    return static_cast<int>(std::count_if(calls_.begin(), calls_.end(), [status](const auto &call) { return !call->isSound_ && call->status_ == status; }));
}

double CrashFleet::soundSuccessRateSince(Time time) const
{
    int sent = 0;
    int served = 0;
    for (const auto &call : calls_) {
        if (call->isSound_ && call->sentAt_ >= time) {
            ++sent;
            served += call->status_ == 200 ? 1 : 0;
        }
    }
    return sent == 0 ? 0 : static_cast<double>(served) / sent;
}
