#include "gatewayworld.h"

#include "http1/messagewriter.h"

using namespace cowsliphead;
using namespace std::chrono_literals;

namespace
{

constexpr auto LongestAnswer = 3000ms;

Route route(const std::string &prefix, RouteKind kind)
{
    Route made;
    made.name_ = prefix;
    made.host_ = "host";
    made.prefix_ = prefix;
    made.kind_ = kind;
    made.shares_ = { { ServiceName("service"), 1 } };
    made.timeout_ = 2000ms;
    made.targetLatency_ = 150ms;
    made.maxAttempts_ = 2;
    made.isResumable_ = kind == RouteKind::Streaming;
    return made;
}

} // namespace

GatewayWorld::GatewayWorld(std::chrono::milliseconds lookAge, std::chrono::milliseconds stopGrace)
    : configuration_(configuration())
    , gateway_(loop_, settings(stopGrace), Address<RequestStarted>([this](const RequestStarted & /*begun*/) { ++begun_; }), Address<Span>([this](Span span) {
                   spans_.push_back(std::move(span));
               }))
{
    port_ = *gateway_.listen();
    gateway_.receive(GatewayCount{ 1 });
    publish();
    gateway_.receive(ConfigurationConfirmed{ SystemClock().now() - lookAge });
}

GatewaySettings GatewayWorld::settings(std::chrono::milliseconds stopGrace)
{
    GatewaySettings made;
    made.domain_ = FailureDomain("a");
    made.callers_ = { "127.0.0.1", 0 };
    made.readiness_ = { "127.0.0.1", 0 };
    made.bounds_.stopGrace_ = stopGrace;
    made.isTraced_ = true;
    return made;
}

std::shared_ptr<Configuration> GatewayWorld::configuration()
{
    auto made = std::make_shared<Configuration>();
    made->revision_ = 1;
    made->hasAccounts_ = true;
    made->accounts_.emplace("key-1", Account{ AccountId("press"), std::nullopt });
    made->routes_ = { route("/safe/", RouteKind::Idempotent), route("/once/", RouteKind::NonIdempotent), route("/stream/", RouteKind::Streaming) };
    made->services_.emplace(ServiceName("service"), ServiceSpec{ ServiceName("service"), 100, std::nullopt, std::nullopt });
    return made;
}

RawEndpoint &GatewayWorld::addEndpoint(std::vector<RawEndpoint::Script> scripts)
{
    endpoints_.push_back(std::make_unique<RawEndpoint>(loop_, std::move(scripts)));
    publish();
    return *endpoints_.back();
}

void GatewayWorld::publish()
{
    auto entries = std::make_shared<std::vector<EndpointEntry>>();
    for (const auto &endpoint : endpoints_) {
        EndpointEntry entry;
        entry.id_ = EndpointId("endpoint-" + std::to_string(entries->size()));
        entry.service_ = ServiceName("service");
        entry.address_ = { "127.0.0.1", endpoint->port() };
        // The first one is in the gateway's failure domain, so that it is chosen first.
        entry.domain_ = FailureDomain(entries->empty() ? "a" : "b");
        entry.slots_ = 4;
        entries->push_back(entry);
    }
    gateway_.receive(FleetSnapshot{ configuration_, entries });
}

void GatewayWorld::runFor(std::chrono::milliseconds time)
{
    Timer end(loop_, [this] { loop_.stop(); });
    end.startOnce(time);
    loop_.run();
}

void GatewayWorld::drainFor(std::chrono::milliseconds time)
{
    gateway_.receive(DrainRequest{});
    runFor(time);
}

GatewayWorld::Answer GatewayWorld::ask(const std::string &path, HttpHeaders headers, const std::string &method)
{
    headers.emplace_back("Host", "host");
    headers.emplace_back("X-Attempt-Id", "attempt-" + std::to_string(++asked_));
    Answer answer;
    bool isOver = false;
    const auto latest = SystemClock().now() + LongestAnswer;
    const auto connection = std::make_shared<ClientConnection>(loop_, SocketAddress{ "127.0.0.1", port_ });
    connection->begin({
                          .onOpen_ =
                              [&] {
                                  connection->write(requestBytes({ method, path, headers }));
                              },
                          .onHead_ =
                              [&](const ResponseHead &head) {
                                  answer.status_ = head.status_;
                                  answer.headers_ = head.headers_;
                                  return AnswerHandling::Accept;
                              },
                          .onData_ = [&](std::string_view data) { answer.body_.append(data); },
                          .onComplete_ =
                              [&] {
                                  answer.isWhole_ = true;
                                  isOver = true;
                                  loop_.stop();
                              },
                          .onFailed_ =
                              [&](ConnectionFailure /*failure*/) {
                                  isOver = true;
                                  loop_.stop();
                              },
                      },
                      1000ms);
    // A gateway that has drained stops the loop too.
    while (!isOver && SystemClock().now() < latest) {
        runFor(LongestAnswer);
    }
    connection->close();
    return answer;
}

void GatewayWorld::askAndLeave(const std::string &path)
{
    const auto connection = std::make_shared<ClientConnection>(loop_, SocketAddress{ "127.0.0.1", port_ });
    const HttpHeaders headers{ { "Host", "host" }, { "X-Attempt-Id", "leaver" }, { "X-Api-Key", "key-1" } };
    connection->begin({
                          .onOpen_ =
                              [&] {
                                  connection->write(requestBytes({ "GET", path, headers }));
                              },
                          .onHead_ = [](const ResponseHead & /*head*/) { return AnswerHandling::Accept; },
                          .onData_ = [](std::string_view /*data*/) {},
                          .onComplete_ = [] {},
                          .onFailed_ = [](ConnectionFailure /*failure*/) {},
                      },
                      1000ms);
    runFor(100ms);
    connection->close();
    runFor(100ms);
}
